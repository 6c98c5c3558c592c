package pathfinder

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

func TestOneFailedEndpointIsNoLostLink(t *testing.T) {
	c := qt.New(t)
	var p Pathfinder
	c.Assert(p.MustProbe(start, "s"), qt.IsTrue)
	c.Assert(p.Probed(start, "s", 3, 1), qt.IsFalse)
	c.Assert(p.Lost("s"), qt.IsFalse)
	c.Assert(p.MustProbe(start.Add(verdictTTL), "s"), qt.IsFalse, qt.Commentf("each failure would open connections"))
	c.Assert(p.MustProbe(start.Add(verdictTTL+1), "s"), qt.IsTrue)
	c.Assert(p.Probed(start, "s", 0, 0), qt.IsFalse, qt.Commentf("a service without another endpoint"))
	c.Assert(p.Lost("s"), qt.IsFalse)
}

func TestLostLinksComeBackWithOneConnection(t *testing.T) {
	c := qt.New(t)
	var p Pathfinder
	c.Assert(p.Probed(start, "s", 2, 0), qt.IsTrue)
	c.Assert(p.Probed(start, "s", 2, 0), qt.IsFalse)
	c.Assert(p.LostServices(), qt.DeepEquals, []dotterelpulley.ServiceID{"s"})
	c.Assert(p.MustProbe(start.Add(time.Hour), "s"), qt.IsFalse)
	c.Assert(p.Probed(start, "s", 2, 1), qt.IsTrue)
	c.Assert(p.Lost("s"), qt.IsFalse)
}

func TestCandidatesLeaveOutTheFailedEndpoint(t *testing.T) {
	c := qt.New(t)
	var p Pathfinder
	c.Assert(p.Candidates([]dotterelpulley.Address{"a", "b"}, "a"), qt.DeepEquals, []dotterelpulley.Address{"b"})
	c.Assert(p.Candidates([]dotterelpulley.Address{"a", "b", "c", "d", "e"}, "a"), qt.HasLen, ProbeCount)
}

// When many hosts of a large fleet are cut off at once, their requests spread evenly over all others.
func TestRequestsOfCutOffHostsSpreadOverTheFleet(t *testing.T) {
	for _, fleet := range []struct{ hosts, cutOff int }{{8, 5}, {86, 40}, {295, 60}} {
		t.Run(fmt.Sprintf("%d of %d hosts", fleet.cutOff, fleet.hosts), func(t *testing.T) {
			c := qt.New(t)
			var helpers []Helper
			for i := range fleet.hosts - fleet.cutOff {
				helpers = append(helpers, Helper{ID: dotterelpulley.HostID(fmt.Sprint(i))})
			}
			load := map[dotterelpulley.HostID]int{}
			requests := 20 * len(helpers)
			for host := range fleet.cutOff {
				p := Pathfinder{Seed: uint64(host)}
				for range requests / fleet.cutOff {
					h, ok := p.Choose(helpers, nil)
					c.Assert(ok, qt.IsTrue)
					load[h.ID]++
				}
			}
			for _, h := range helpers {
				c.Check(load[h.ID] <= 40, qt.IsTrue, qt.Commentf("%d requests through one host, 20 on average", load[h.ID]))
			}
		})
	}
}

func TestExcludedHelpersAreNotChosen(t *testing.T) {
	c := qt.New(t)
	var p Pathfinder
	helpers := []Helper{{ID: "a"}, {ID: "b"}}
	for range 10 {
		h, ok := p.Choose(helpers, map[dotterelpulley.HostID]bool{"a": true})
		c.Assert(ok, qt.IsTrue)
		c.Assert(h.ID, qt.Equals, dotterelpulley.HostID("b"))
		p.Done(h.ID)
	}
	_, ok := p.Choose(helpers, map[dotterelpulley.HostID]bool{"a": true, "b": true})
	c.Assert(ok, qt.IsFalse)
}
