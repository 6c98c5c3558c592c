package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

var startTime = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time {
	return startTime.Add(d)
}

// validObservations returns observations without violations: one answered request on each route.
func validObservations() Observations {
	o := Observations{Recovered: startTime}
	for i, r := range routes {
		a := AttemptID(fmt.Sprint("a", i))
		s := Sent{
			AttemptID: a, Route: r.ID, Key: "key-wide", Host: "h", Start: 1, SentAt: after(time.Second), EndedAt: after(2 * time.Second),
			Timeout: routeTimeout, Status: http.StatusOK, Signed: true, Completed: true, Body: expectedBody(a),
		}
		if r.stream {
			s.Body = ""
			for number := range expectedEvents(a) {
				s.Events = append(s.Events, number+1)
			}
		}
		o.Sent = append(o.Sent, s)
		o.Arrivals = append(o.Arrivals, Arrival{
			AttemptID: a, Endpoint: "e", Service: r.service, Organisation: wideOrganisation, Version: 5, At: after(1100 * time.Millisecond), Executed: true,
		})
	}
	return o
}

// find returns the request on the route and its arrival.
func (o *Observations) find(id dotterelpulley.RouteID) (*Sent, *Arrival) {
	for i := range o.Sent {
		if o.Sent[i].Route == id {
			return &o.Sent[i], &o.Arrivals[i]
		}
	}
	panic("no such route: " + id)
}

// observedSend is one send of a request and its arrival.
type observedSend struct {
	sent    *Sent
	arrival *Arrival
}

// resend makes the request on the route one that was refused and sent again, and returns both sends.
func (o *Observations) resend(id dotterelpulley.RouteID) (refused, again observedSend) {
	s, a := o.find(id)
	second, secondArrival := *s, *a
	second.Resend, secondArrival.Resend = 1, 1
	second.SentAt, secondArrival.At = s.SentAt.Add(300*time.Millisecond), a.At.Add(300*time.Millisecond)
	s.EndedAt = s.SentAt.Add(200 * time.Millisecond)
	s.Status, s.Signed, s.Body, s.Events = http.StatusServiceUnavailable, false, "", nil
	a.Executed, a.EndedAt = false, a.At
	o.Sent, o.Arrivals = append(o.Sent, second), append(o.Arrivals, secondArrival)
	s, a = o.find(id)
	return observedSend{s, a}, observedSend{&o.Sent[len(o.Sent)-1], &o.Arrivals[len(o.Arrivals)-1]}
}

func TestValidObservationsPass(t *testing.T) {
	qt.New(t).Assert(Evaluate(validObservations()), qt.HasLen, 0)
}

// Each violation is reported by the check for it and by no other check.
func TestEachCheckReportsItsViolation(t *testing.T) {
	violations := []struct {
		check string
		name  string
		// also is a second check that the violation breaks; empty for none.
		also    string
		violate func(o *Observations)
	}{
		{"at-most-once", "a booking ran twice", "", func(o *Observations) {
			_, a := o.find("booking")
			o.Arrivals = append(o.Arrivals, *a)
		}},
		{"at-most-once", "a letter ran twice", "", func(o *Observations) {
			_, a := o.find("letter")
			o.Arrivals = append(o.Arrivals, *a)
		}},
		{"at-most-once", "a booking ran twice after a refusal", "", func(o *Observations) {
			_, again := o.resend("booking")
			o.Arrivals = append(o.Arrivals, *again.arrival)
		}},
		{"at-most-once", "a letter ran twice after a refusal, and its outcome is unknown", "", func(o *Observations) {
			_, again := o.resend("letter")
			again.sent.Status, again.sent.Signed, again.sent.Events = http.StatusBadGateway, false, nil
			o.Arrivals = append(o.Arrivals, *again.arrival)
		}},
		{"one-endpoint-at-work", "two endpoints work on a stream", "", func(o *Observations) {
			_, a := o.find("advice")
			next := *a
			next.Endpoint, next.At = "f", a.At.Add(100*time.Millisecond)
			a.EndedAt = next.At.Add(workOverlapLimit + time.Millisecond)
			o.Arrivals = append(o.Arrivals, next)
		}},
		{"refusals-are-true", "a booking was refused and ran", "", func(o *Observations) {
			s, _ := o.find("booking")
			s.Status, s.Signed, s.Body = http.StatusServiceUnavailable, false, ""
		}},
		{"refusals-are-true", "a booking was refused when it was sent again, and ran", "", func(o *Observations) {
			_, again := o.resend("booking")
			again.sent.Status, again.sent.Signed, again.sent.Body = http.StatusTooManyRequests, false, ""
		}},
		{"refusals-are-true", "a letter was refused and ran, and did not run when it was sent again", "", func(o *Observations) {
			refused, again := o.resend("letter")
			refused.arrival.Executed, again.arrival.Executed = true, false
			again.sent.Status, again.sent.Signed, again.sent.Events = http.StatusBadGateway, false, nil
		}},
		{"refusals-are-true", "a booking was refused and ran after it was sent again", "", func(o *Observations) {
			refused, again := o.resend("booking")
			refused.arrival.At, refused.arrival.Executed, again.arrival.Executed = again.sent.EndedAt.Add(time.Millisecond), true, false
			again.sent.Status, again.sent.Signed, again.sent.Body = http.StatusServiceUnavailable, false, ""
		}},
		{"refusals-are-true", "a letter was refused and ran, and ran when it was sent again", "at-most-once", func(o *Observations) {
			refused, _ := o.resend("letter")
			refused.arrival.Executed = true
		}},
		{"whole-answers", "an event is missing", "", func(o *Observations) {
			s, _ := o.find("letter")
			s.Events = append(s.Events[:1], s.Events[2:]...)
			s.Completed, s.EndedAt = false, s.SentAt.Add(routeTimeout)
		}},
		{"whole-answers", "an event came twice", "", func(o *Observations) {
			s, _ := o.find("advice")
			s.Events = append([]int{1}, s.Events...)
			s.Completed, s.EndedAt = false, s.SentAt.Add(routeTimeout)
		}},
		{"whole-answers", "a stream ended early as complete", "", func(o *Observations) {
			s, _ := o.find("letter")
			s.Events = s.Events[:2]
		}},
		{"whole-answers", "a success without a signature", "", func(o *Observations) {
			s, _ := o.find("lookup")
			s.Signed = false
		}},
		{"own-answers", "another request's answer", "", func(o *Observations) {
			s, _ := o.find("lookup")
			s.Body = expectedBody("another")
		}},
		{"no-answer-lost", "a stream of a sound endpoint was cut", "", func(o *Observations) {
			s, _ := o.find("advice")
			s.Events, s.Completed = s.Events[:2], false
		}},
		{"no-answer-lost", "a planned stop cut a booking", "", func(o *Observations) {
			s, _ := o.find("booking")
			s.Status, s.Signed, s.Completed, s.Body = 0, false, false, ""
			o.Disturbances = []Disturbance{{Name: stopFault, From: s.SentAt, To: s.EndedAt}}
		}},
		{"keys", "the key was forwarded", "", func(o *Observations) {
			_, a := o.find("lookup")
			a.KeyForwarded = true
		}},
		{"keys", "a request attributed to another organisation", "", func(o *Observations) {
			_, a := o.find("lookup")
			a.Organisation = "narrow"
		}},
		{"keys", "a request with an unknown key ran", "", func(o *Observations) {
			s, _ := o.find("lookup")
			s.Key = unknownKey
		}},
		{"revoked-keys", "a request ran long after its key was revoked", "", func(o *Observations) {
			s, _ := o.find("lookup")
			s.Key = revocableKey
			o.Revocations = []Revocation{{Key: revocableKey, At: s.SentAt.Add(-revocationLimit - time.Millisecond)}}
		}},
		{"caps", "an organisation ran far beyond its cap", "", func(o *Observations) {
			for i := range 100 {
				a := AttemptID(fmt.Sprint("n", i))
				o.Sent = append(o.Sent, Sent{
					AttemptID: a, Route: "lookup", Key: "key-narrow", SentAt: after(time.Second), EndedAt: after(2 * time.Second),
					Status: http.StatusOK, Signed: true, Completed: true, Body: expectedBody(a),
				})
				o.Arrivals = append(o.Arrivals, Arrival{
					AttemptID: a, Endpoint: "e", Service: plainService, Organisation: "narrow", At: after(time.Second + time.Duration(i)*time.Millisecond), Executed: true,
				})
			}
		}},
		{"drain", "a drained endpoint received a request", "", func(o *Observations) {
			_, a := o.find("lookup")
			o.Drains = []Drain{{Endpoint: a.Endpoint, At: a.At.Add(-drainLimit - time.Millisecond)}}
		}},
		{"configuration-never-back", "a host reverted to an older configuration", "", func(o *Observations) {
			s, a := o.find("lookup")
			s.SentAt, s.EndedAt = after(3*time.Second), after(4*time.Second)
			a.At, a.Version = after(3500*time.Millisecond), 4
		}},
		{"retry-budget", "retries beyond the budget", "", func(o *Observations) {
			_, a := o.find("lookup")
			for range budgetExtra + 10 {
				o.Arrivals = append(o.Arrivals, *a)
			}
		}},
		{"recovery", "nothing is served after the faults", "", func(o *Observations) {
			for i := range o.Sent {
				o.Sent[i].Status, o.Sent[i].Signed = http.StatusBadGateway, false
			}
		}},
	}
	covered := map[string]bool{}
	for _, violation := range violations {
		t.Run(violation.name, func(t *testing.T) {
			c := qt.New(t)
			o := validObservations()
			violation.violate(&o)
			broken := []string{violation.check}
			if violation.also != "" {
				broken = append(broken, violation.also)
			}
			reported := map[string]bool{}
			for _, f := range Evaluate(o) {
				c.Check(broken, qt.Contains, f.Check, qt.Commentf("%s", f))
				reported[f.Check] = true
			}
			c.Check(reported, qt.HasLen, len(broken))
		})
		covered[violation.check] = true
	}
	for _, check := range checks {
		qt.New(t).Check(covered[check.name], qt.IsTrue, qt.Commentf("no test case violates %s", check.name))
	}
}

// Behaviour that the documentation of the platform allows is not reported.
func TestAllowedBehaviourPasses(t *testing.T) {
	c := qt.New(t)
	o := validObservations()
	_, a := o.find("lookup")
	// Idempotent requests may run twice, and a host cut off from the store does not know that an endpoint drains.
	o.Arrivals = append(o.Arrivals, *a)
	o.Drains = []Drain{{Endpoint: a.Endpoint, At: a.At.Add(-drainLimit - time.Second)}}
	o.Disturbances = []Disturbance{{Name: "pause", From: a.At.Add(-time.Second), To: a.At}}
	s, _ := o.find("booking")
	s.Status, s.Signed, s.Body = http.StatusBadGateway, false, ""
	// A stream may break off with its endpoint or its host, and when its time is over.
	s, a = o.find("advice")
	s.Events, s.Completed = s.Events[:2], false
	o.Troubles = []Trouble{{Endpoint: a.Endpoint, At: a.At}}
	c.Assert(Evaluate(o), qt.HasLen, 0)
	o.Troubles = nil
	o.Disturbances = append(o.Disturbances, Disturbance{Name: "kill", From: s.EndedAt.Add(-time.Millisecond), To: s.EndedAt})
	c.Assert(Evaluate(o), qt.HasLen, 0)
	o.Disturbances = o.Disturbances[:1]
	s.EndedAt = s.SentAt.Add(routeTimeout)
	c.Assert(Evaluate(o), qt.HasLen, 0)
}

// A request that was refused may run when it is sent again, once, by another host with a newer configuration.
func TestResendAfterARefusalPasses(t *testing.T) {
	c := qt.New(t)
	o := validObservations()
	_, again := o.resend("booking")
	again.sent.Host, again.arrival.Version = "h2", 6
	_, again = o.resend("letter")
	// Its time is over sooner than that of the first send.
	again.sent.Timeout, again.sent.EndedAt = 300*time.Millisecond, again.sent.SentAt.Add(300*time.Millisecond)
	again.sent.Events, again.sent.Completed = again.sent.Events[:2], false
	c.Assert(Evaluate(o), qt.HasLen, 0)
}

func TestOrganisationCarriesVersion(t *testing.T) {
	c := qt.New(t)
	id, version := splitVersion(withVersion(wideOrganisation, 12))
	c.Assert(id, qt.Equals, wideOrganisation)
	c.Assert(version, qt.Equals, int64(12))
	id, version = splitVersion("narrow")
	c.Assert(id, qt.Equals, dotterelpulley.OrganisationID("narrow"))
	c.Assert(version, qt.Equals, int64(0))
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	c := qt.New(t)
	for _, s := range []Settings{{Hosts: -1}, {Hosts: maxHosts + 1}, {Callers: -1}, {Faults: -1}, {FaultWindow: -1}, {RefusalCopies: -1}} {
		_, err := s.withDefaults()
		c.Check(err, qt.IsNotNil, qt.Commentf("%+v", s))
	}
}

func TestScheduleDependsOnlyOnSeed(t *testing.T) {
	c := qt.New(t)
	names := func(seed uint64) []string {
		var names []string
		for _, planned := range schedule(seed, 20, time.Minute) {
			names = append(names, fmt.Sprint(planned.fault.name, planned.start, planned.duration, planned.seed))
		}
		return names
	}
	c.Assert(names(1), qt.DeepEquals, names(1))
	c.Assert(names(1), qt.Not(qt.DeepEquals), names(2))
}
