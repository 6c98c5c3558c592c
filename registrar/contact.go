package registrar

import "time"

// Contact is the span over which the store is known to have answered some host, without a pause in which registrations expire;
// the zero value knows of no answer.
type Contact struct {
	Since time.Time
	Until time.Time
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

// silence is a time in which the store may not have answered anybody, so that registrations expired; the zero value is none.
type silence struct {
	from  time.Time
	until time.Time
	// lostRecords means that the store returned from a copy, which lacks registrations whether it was silent or not.
	lostRecords bool
}

// isRefutedBy reports whether the contact shows that the store answered other hosts meanwhile.
func (s silence) isRefutedBy(c Contact) bool {
	return !s.until.IsZero() && !s.lostRecords && !c.Since.IsZero() && c.Since.Sub(s.from) <= outageThreshold && s.until.Sub(c.Until) <= outageThreshold
}
