package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// Work that may run on no other endpoint goes back to a silent or full one, but not to one that wants no requests.
func TestWorkGoesBackToItsEndpoint(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const endpointID = dotterelpulley.EndpointID("a")
	for _, test := range []struct {
		name    string
		prepare func(s *Scheduler, e *endpoint)
		placed  bool
	}{
		{"free", func(*Scheduler, *endpoint) {}, true},
		{"full", func(_ *Scheduler, e *endpoint) { e.running = e.slots() }, true},
		{"silent", func(_ *Scheduler, e *endpoint) { e.running, e.streaming, e.lastActivity = 1, 1, now.Add(-time.Second) }, true},
		{"blocked", func(_ *Scheduler, e *endpoint) { e.block(now.Add(time.Second)) }, false},
		{"paused", func(s *Scheduler, _ *endpoint) { s.Pause(now, 1, now.Add(time.Second)) }, false},
		{"leaving", func(_ *Scheduler, e *endpoint) { e.State = dotterelpulley.EndpointLeaving }, false},
		{"no places", func(_ *Scheduler, e *endpoint) { e.allowance.Allowance = Allowance{PlacesLimited: true} }, false},
		{"barred version", func(s *Scheduler, _ *endpoint) { s.SetSplit(now, "s", Split{Barred: "v1"}) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s Scheduler
			s.SetEndpoints("s", []Endpoint{{
				Endpoint: dotterelpulley.Endpoint{ID: endpointID, Service: "s", State: dotterelpulley.EndpointLive}, Version: "v1", Slots: 2,
			}})
			s.Offer(Work{ID: 1, Service: "s", Arrived: now, Objective: time.Second})
			c.Assert(s.Decide(now), qt.HasLen, 1)
			e := s.service("s").endpoints[endpointID]
			test.prepare(&s, e)
			before := e.running
			placed, ok := s.PlaceAgain(now, Work{ID: 2, Service: "s", Arrived: now, Objective: time.Second}, endpointID)
			c.Assert(ok, qt.Equals, test.placed)
			if !ok {
				c.Assert(e.running, qt.Equals, before)
				return
			}
			c.Assert(placed.Endpoint.ID, qt.Equals, endpointID)
			c.Assert(e.running, qt.Equals, before+1)
			s.Ended(now, 2, ResultCompleted)
			c.Assert(e.running, qt.Equals, before)
		})
	}
	var s Scheduler
	_, ok := s.PlaceAgain(now, Work{ID: 2, Service: "s"}, endpointID)
	qt.Assert(t, ok, qt.IsFalse)
}
