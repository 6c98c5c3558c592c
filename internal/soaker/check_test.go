package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time {
	return start.Add(d)
}

// sound is what a sound system shows: an answered request on each route.
func sound() Observed {
	o := Observed{Recovered: start}
	for i, r := range routes {
		a := Attempt(fmt.Sprint("a", i))
		s := Sent{
			Attempt: a, Route: r.ID, Key: "key-wide", Host: "h", Start: 1, At: after(time.Second), Ended: after(2 * time.Second),
			Status: http.StatusOK, Signed: true, Whole: true, Body: bodyOf(a),
		}
		if r.stream {
			s.Body = ""
			for number := range eventsOf(a) {
				s.Events = append(s.Events, number+1)
			}
		}
		o.Sent = append(o.Sent, s)
		o.Arrivals = append(o.Arrivals, Arrival{
			Attempt: a, Endpoint: "e", Service: r.service, Organisation: wideOrganisation, Version: 5, At: after(1100 * time.Millisecond), Ran: true,
		})
	}
	return o
}

// find returns the request of the route and its arrival.
func (o *Observed) find(id dotterelpulley.RouteID) (*Sent, *Arrival) {
	for i := range o.Sent {
		if o.Sent[i].Route == id {
			return &o.Sent[i], &o.Arrivals[i]
		}
	}
	panic("no such route: " + id)
}

func TestASoundSystemPasses(t *testing.T) {
	qt.New(t).Assert(Judge(sound()), qt.HasLen, 0)
}

// Each check catches the fault that it is for, and nothing else does.
func TestEachCheckCatchesItsFault(t *testing.T) {
	planted := []struct {
		check string
		name  string
		plant func(o *Observed)
	}{
		{"at-most-once", "a booking ran twice", func(o *Observed) {
			_, a := o.find("booking")
			o.Arrivals = append(o.Arrivals, *a)
		}},
		{"at-most-once", "a letter ran twice", func(o *Observed) {
			_, a := o.find("letter")
			o.Arrivals = append(o.Arrivals, *a)
		}},
		{"refusals-are-true", "a booking was refused and ran", func(o *Observed) {
			s, _ := o.find("booking")
			s.Status, s.Signed, s.Body = http.StatusServiceUnavailable, false, ""
		}},
		{"whole-answers", "an event is missing", func(o *Observed) {
			s, _ := o.find("letter")
			s.Events = append(s.Events[:1], s.Events[2:]...)
			s.Whole = false
		}},
		{"whole-answers", "an event came twice", func(o *Observed) {
			s, _ := o.find("advice")
			s.Events = append([]int{1}, s.Events...)
			s.Whole = false
		}},
		{"whole-answers", "a stream ended early as complete", func(o *Observed) {
			s, _ := o.find("letter")
			s.Events = s.Events[:2]
		}},
		{"whole-answers", "a success without a signature", func(o *Observed) {
			s, _ := o.find("lookup")
			s.Signed = false
		}},
		{"own-answers", "another request's answer", func(o *Observed) {
			s, _ := o.find("lookup")
			s.Body = bodyOf("another")
		}},
		{"keys", "the key was passed on", func(o *Observed) {
			_, a := o.find("lookup")
			a.KeyPassed = true
		}},
		{"keys", "another organisation's name", func(o *Observed) {
			_, a := o.find("lookup")
			a.Organisation = "narrow"
		}},
		{"keys", "an unknown key ran", func(o *Observed) {
			s, _ := o.find("lookup")
			s.Key = unknown
		}},
		{"revoked-keys", "a key ran long after it was taken away", func(o *Observed) {
			s, _ := o.find("lookup")
			s.Key = revocable
			o.Revocations = []Revocation{{Key: revocable, At: s.At.Add(-revocationLimit - time.Millisecond)}}
		}},
		{"caps", "an organisation ran far beyond its cap", func(o *Observed) {
			for i := range 100 {
				a := Attempt(fmt.Sprint("n", i))
				o.Sent = append(o.Sent, Sent{
					Attempt: a, Route: "lookup", Key: "key-narrow", At: after(time.Second), Ended: after(2 * time.Second),
					Status: http.StatusOK, Signed: true, Whole: true, Body: bodyOf(a),
				})
				o.Arrivals = append(o.Arrivals, Arrival{
					Attempt: a, Endpoint: "e", Service: plainService, Organisation: "narrow", At: after(time.Second + time.Duration(i)*time.Millisecond), Ran: true,
				})
			}
		}},
		{"drain", "an endpoint that left got a request", func(o *Observed) {
			_, a := o.find("lookup")
			o.Leaves = []Leave{{Endpoint: a.Endpoint, At: a.At.Add(-drainLimit - time.Millisecond)}}
		}},
		{"configuration-never-back", "a host went back", func(o *Observed) {
			s, a := o.find("lookup")
			s.At, s.Ended = after(3*time.Second), after(4*time.Second)
			a.At, a.Version = after(3500*time.Millisecond), 4
		}},
		{"retry-budget", "a storm of repeats", func(o *Observed) {
			_, a := o.find("lookup")
			for range budgetExtra + 10 {
				o.Arrivals = append(o.Arrivals, *a)
			}
		}},
		{"recovery", "nothing is served after the faults", func(o *Observed) {
			for i := range o.Sent {
				o.Sent[i].Status, o.Sent[i].Whole = 0, false
			}
		}},
	}
	caught := map[string]bool{}
	for _, one := range planted {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			o := sound()
			one.plant(&o)
			findings := Judge(o)
			c.Assert(findings, qt.Not(qt.HasLen), 0)
			for _, f := range findings {
				c.Check(f.Check, qt.Equals, one.check, qt.Commentf("%s", f))
			}
		})
		caught[one.check] = true
	}
	for _, one := range checks {
		qt.New(t).Check(caught[one.name], qt.IsTrue, qt.Commentf("no fault is planted for %s", one.name))
	}
}

// What the platform's pages excuse is no finding.
func TestExcusedCasesPass(t *testing.T) {
	c := qt.New(t)
	o := sound()
	_, a := o.find("lookup")
	// An idempotent request may run again, and a host out of touch doesn't know that an endpoint leaves.
	o.Arrivals = append(o.Arrivals, *a)
	o.Leaves = []Leave{{Endpoint: a.Endpoint, At: a.At.Add(-drainLimit - time.Second)}}
	o.Troubles = []Trouble{{Name: "pause", From: a.At.Add(-time.Second), To: a.At}}
	s, _ := o.find("booking")
	s.Status, s.Signed, s.Body = http.StatusBadGateway, false, ""
	c.Assert(Judge(o), qt.HasLen, 0)
}

func TestOrganisationsTellTheVersion(t *testing.T) {
	c := qt.New(t)
	id, version := unversioned(versioned(wideOrganisation, 12))
	c.Assert(id, qt.Equals, wideOrganisation)
	c.Assert(version, qt.Equals, int64(12))
	id, version = unversioned("narrow")
	c.Assert(id, qt.Equals, dotterelpulley.OrganisationID("narrow"))
	c.Assert(version, qt.Equals, int64(0))
}

func TestSettingsAreChecked(t *testing.T) {
	c := qt.New(t)
	for _, s := range []Settings{{Hosts: -1}, {Hosts: mostHosts + 1}, {Callers: -1}, {Strikes: -1}, {Span: -1}} {
		_, err := s.withDefaults()
		c.Check(err, qt.IsNotNil, qt.Commentf("%+v", s))
	}
}

func TestASeriesIsItsSeeds(t *testing.T) {
	c := qt.New(t)
	names := func(seed uint64) []string {
		var names []string
		for _, one := range seeded(seed, 20, time.Minute) {
			names = append(names, fmt.Sprint(one.fault.name, one.at, one.span, one.seed))
		}
		return names
	}
	c.Assert(names(1), qt.DeepEquals, names(1))
	c.Assert(names(1), qt.Not(qt.DeepEquals), names(2))
}
