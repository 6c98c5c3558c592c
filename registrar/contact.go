package registrar

import "time"

// Contact is the span over which the store is known to have answered some host, without a pause in which registrations expire;
// the zero value knows of no answer.
type Contact struct {
	Since time.Time
	Until time.Time
}

// ToldContact returns the contact that another host told in answer to a call, by the ages of its ends. Of the time of the call it
// takes what makes the span shorter, so that a slow call, or a host frozen during one, can't make it cover an outage.
func ToldContact(calledAt, answeredAt time.Time, sinceAge, untilAge time.Duration) Contact {
	return Contact{Since: answeredAt.Add(-sinceAge), Until: calledAt.Add(-untilAge)}
}

// join returns the span of both contacts if they meet, else the later one.
func (c Contact) join(other Contact) Contact {
	switch {
	case other.Until.IsZero() || other.Until.Before(other.Since):
		return c
	case c.Until.IsZero() || other.Since.Sub(c.Until) > outageThreshold:
		return other
	case c.Since.Sub(other.Until) > outageThreshold:
		return c
	}
	if other.Since.Before(c.Since) {
		c.Since = other.Since
	}
	if other.Until.After(c.Until) {
		c.Until = other.Until
	}
	return c
}

// possibleOutage is a time in which the store may have answered nobody, so that registrations expired; the zero value is none.
type possibleOutage struct {
	from  time.Time
	until time.Time
	// lostRecords means that the store returned from a copy, which lacks registrations whether it was silent or not.
	lostRecords bool
}

// isRefutedBy reports whether the contact shows that the store answered other hosts meanwhile.
func (o possibleOutage) isRefutedBy(c Contact) bool {
	return !o.until.IsZero() && !o.lostRecords && !c.Since.IsZero() && c.Since.Sub(o.from) <= outageThreshold && o.until.Sub(c.Until) <= outageThreshold
}
