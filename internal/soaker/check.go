package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// The bounds of the checks are those of the users' sites; where a busy machine delays what a process does, a
// check looks only at spans without trouble.
const (
	revocationLimit = 5 * time.Second
	drainLimit      = 2 * time.Second
	recoveryLimit   = 12 * time.Second
	// touchSpan is for how long before a moment there must have been no trouble for a time bound to hold.
	touchSpan     = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	budgetWindow  = 10 * time.Second
	budgetRatio   = 0.2
	budgetExtra   = 56
	usageWindow   = 8 * time.Second
	usageOverrun  = 0.1
	// leastServed is the part of the requests that must be served once the system has recovered.
	leastServed = 0.25
)

// Finding is a promise that was broken.
type Finding struct {
	Check   string
	Attempt Attempt
	What    string
}

// String returns the finding in a line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Check, f.Attempt, f.What)
}

// view is what checks look at.
type view struct {
	Observed
	sent     map[Attempt]Sent
	arrivals map[Attempt][]Arrival
}

// check is one promise: its name and what breaks it.
type check struct {
	name   string
	broken func(v view, report func(a Attempt, what string, args ...any))
}

var checks = []check{
	{"at-most-once", atMostOnce},
	{"refusals-are-true", refusalsAreTrue},
	{"whole-answers", wholeAnswers},
	{"own-answers", ownAnswers},
	{"keys", keysAreHeld},
	{"revoked-keys", revokedKeys},
	{"caps", capsHold},
	{"drain", drained},
	{"configuration-never-back", neverBack},
	{"retry-budget", budgetHolds},
	{"recovery", recovered},
}

// Judge returns the promises that were broken.
func Judge(o Observed) []Finding {
	v := view{Observed: o, sent: map[Attempt]Sent{}, arrivals: map[Attempt][]Arrival{}}
	for _, s := range o.Sent {
		v.sent[s.Attempt] = s
	}
	for _, a := range o.Arrivals {
		v.arrivals[a.Attempt] = append(v.arrivals[a.Attempt], a)
	}
	var findings []Finding
	for _, c := range checks {
		c.broken(v, func(a Attempt, what string, args ...any) {
			findings = append(findings, Finding{Check: c.name, Attempt: a, What: fmt.Sprintf(what, args...)})
		})
	}
	return findings
}

func (v view) runs(a Attempt) int {
	n := 0
	for _, one := range v.arrivals[a] {
		if one.Ran {
			n++
		}
	}
	return n
}

// calm reports whether no trouble reaches into the span.
func (v view) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(v.Troubles, func(t Trouble) bool { return t.From.Before(to) && t.To.After(from) })
}

func atMostOnce(v view, report func(Attempt, string, ...any)) {
	for _, s := range v.Sent {
		if n := v.runs(s.Attempt); n > 1 && !routeOf(s.Route).repeatable {
			report(s.Attempt, "ran %d times", n)
		}
	}
}

// promises reports whether the status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func refusalsAreTrue(v view, report func(Attempt, string, ...any)) {
	for _, s := range v.Sent {
		if n := v.runs(s.Attempt); n > 0 && promises(s.Status) && !routeOf(s.Route).repeatable {
			report(s.Attempt, "refused with %d and ran %d times", s.Status, n)
		}
	}
}

func wholeAnswers(v view, report func(Attempt, string, ...any)) {
	for _, s := range v.Sent {
		if s.Status != http.StatusOK {
			continue
		}
		if !s.Signed {
			report(s.Attempt, "a success without a signature")
		}
		if !routeOf(s.Route).stream {
			continue
		}
		for i, number := range s.Events {
			if number != i+1 {
				report(s.Attempt, "events %v", s.Events)
				break
			}
		}
		if want := eventsOf(s.Attempt); s.Whole && len(s.Events) != want {
			report(s.Attempt, "ended as complete after %d of %d events", len(s.Events), want)
		}
	}
}

func ownAnswers(v view, report func(Attempt, string, ...any)) {
	for _, s := range v.Sent {
		if s.Status == http.StatusOK && s.Whole && s.Body != bodyOf(s.Attempt) && !routeOf(s.Route).stream {
			report(s.Attempt, "got %q", s.Body)
		}
	}
}

func keysAreHeld(v view, report func(Attempt, string, ...any)) {
	for _, a := range v.Arrivals {
		s, ok := v.sent[a.Attempt]
		if !ok {
			continue
		}
		if a.KeyPassed {
			report(a.Attempt, "the key reached endpoint %s", a.Endpoint)
		}
		if want := holders[s.Key]; a.Organisation != want || want == "" {
			report(a.Attempt, "reached endpoint %s for organisation %q, its key is held by %q", a.Endpoint, a.Organisation, want)
		}
	}
}

func revokedKeys(v view, report func(Attempt, string, ...any)) {
	for _, r := range v.Revocations {
		for _, s := range v.Sent {
			if s.Key == r.Key && s.At.After(r.At.Add(revocationLimit)) && v.runs(s.Attempt) > 0 {
				report(s.Attempt, "ran with a key taken away %s before", s.At.Sub(r.At))
			}
		}
	}
}

func capsHold(v view, report func(Attempt, string, ...any)) {
	for id, limit := range caps {
		var times []time.Time
		for _, a := range v.Arrivals {
			if a.Ran && a.Organisation == id {
				times = append(times, a.At)
			}
		}
		allowed := int((limit.Rate*usageWindow.Seconds()+limit.Burst)*(1+usageOverrun) + limit.slack)
		if n, at := busiest(times, usageWindow); n > allowed {
			report("", "%s ran %d requests in the window from %s, allowed are %d", id, n, at.Format(time.StampMilli), allowed)
		}
	}
}

// busiest returns the greatest number of moments in a window, and its beginning.
func busiest(times []time.Time, window time.Duration) (most int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, times[first]
		}
	}
	return most, from
}

func drained(v view, report func(Attempt, string, ...any)) {
	for _, leave := range v.Leaves {
		for _, a := range v.Arrivals {
			if a.Endpoint == leave.Endpoint && a.At.After(leave.At.Add(drainLimit)) && v.calm(leave.At.Add(-touchSpan), a.At) {
				report(a.Attempt, "reached endpoint %s %s after it said that it leaves", a.Endpoint, a.At.Sub(leave.At))
			}
		}
	}
}

// neverBack looks at the versions by which one start of a host handled requests, in the order of these.
func neverBack(v view, report func(Attempt, string, ...any)) {
	type place struct {
		host  dotterelpulley.HostID
		start int
	}
	type seen struct {
		attempt Attempt
		at      time.Time
		version int64
		// shown tells that the version shows at the moment, otherwise that a request is sent then.
		shown bool
	}
	places := map[place][]seen{}
	for _, s := range v.Sent {
		for _, a := range v.arrivals[s.Attempt] {
			if a.Version == 0 {
				continue
			}
			at := place{s.Host, s.Start}
			places[at] = append(places[at],
				seen{s.Attempt, s.At, a.Version, false}, seen{s.Attempt, a.At.Add(rollbackSlack), a.Version, true})
		}
	}
	for _, all := range places {
		slices.SortFunc(all, func(a, b seen) int { return a.at.Compare(b.at) })
		newest := seen{}
		for _, one := range all {
			switch {
			case one.shown && one.version > newest.version:
				newest = one
			case !one.shown && one.version < newest.version:
				report(one.attempt, "handled by version %d, %s before by %d", one.version, newest.attempt, newest.version)
			}
		}
	}
}

func budgetHolds(v view, report func(Attempt, string, ...any)) {
	repeats := map[dotterelpulley.ServiceID][]time.Time{}
	for _, all := range v.arrivals {
		slices.SortFunc(all, func(a, b Arrival) int { return a.At.Compare(b.At) })
		for _, a := range all[1:] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
	}
	for service, times := range repeats {
		n, from := busiest(times, budgetWindow)
		asked := 0
		for _, s := range v.Sent {
			if routeOf(s.Route).service == service && s.At.After(from.Add(-budgetWindow)) && s.At.Before(from.Add(budgetWindow)) {
				asked++
			}
		}
		if allowed := int(budgetRatio*float64(asked) + budgetExtra); n > allowed {
			report("", "%d repeats to %s in a window, %d allowed", n, service, allowed)
		}
	}
}

func recovered(v view, report func(Attempt, string, ...any)) {
	sent, served := 0, 0
	for _, s := range v.Sent {
		if s.At.Before(v.Recovered) || !lastingKey(s.Key) {
			continue
		}
		sent++
		if s.Status == http.StatusOK && s.Whole {
			served++
		}
	}
	if float64(served) < leastServed*float64(sent) || sent == 0 {
		report("", "%d of %d requests served after the recovery", served, sent)
	}
}
