package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// While slots are free, a large request goes to a slower endpoint nearby; a small one, and any under load, to the fastest.
func TestLargeRequestsStayNearWhileSlotsAreFree(t *testing.T) {
	c := qt.New(t)
	place := func(size, busy int) dotterelpulley.EndpointID {
		s := &Scheduler{Seed: 1, Zone: "here", Policy: Policy{Spread: None}}
		s.SetEndpoints(testService, []Endpoint{
			{Endpoint: dotterelpulley.Endpoint{ID: "far", Address: "far", Zone: "there"}, Slots: 8},
			{Endpoint: dotterelpulley.Endpoint{ID: "near", Address: "near", Zone: "here"}, Slots: 8},
		})
		s.SetHostReport(start, "other", HostReport{
			Loads: []Load{{Key: EndpointKey("near"), Running: busy}, {Key: EndpointKey("far"), Running: busy}},
			Paces: []Pace{{Key: EndpointKey("near"), EventInterval: 30_000_000}, {Key: EndpointKey("far"), EventInterval: 10_000_000}},
		})
		s.service(testService).meanSize = 6000
		w := work(1)
		w.Size = size
		return offer(s, start, w).(Placed).Endpoint.ID
	}
	c.Check(place(18_000, 0), qt.Equals, dotterelpulley.EndpointID("near"))
	c.Check(place(500, 0), qt.Equals, dotterelpulley.EndpointID("far"))
	c.Check(place(18_000, 6), qt.Equals, dotterelpulley.EndpointID("far"))
}
