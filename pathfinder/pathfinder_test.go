package pathfinder

import (
	"fmt"
	"slices"
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
	first, more := p.Candidates([]dotterelpulley.Address{"a", "b"}, "a")
	c.Assert(first, qt.DeepEquals, []dotterelpulley.Address{"b"})
	c.Assert(more, qt.HasLen, 0)
	first, more = p.Candidates([]dotterelpulley.Address{"a", "b", "c", "d", "e"}, "a")
	c.Assert(first, qt.HasLen, firstProbes)
	c.Assert(more, qt.HasLen, 1)
	c.Assert(append(first, more...), qt.Not(qt.Contains), dotterelpulley.Address("a"))
}

// Where several endpoints had crashed, a host that tried three others took its links for lost and refused requests.
func TestCrashesOfHalfTheEndpointsAreNoLostLinks(t *testing.T) {
	for _, endpoints := range []int{9, 18, 90} {
		t.Run(fmt.Sprintf("%d endpoints", endpoints), func(t *testing.T) {
			c := qt.New(t)
			const probes = 10_000
			var addresses []dotterelpulley.Address
			crashed := map[dotterelpulley.Address]bool{}
			for i := range endpoints {
				addresses = append(addresses, dotterelpulley.Address(fmt.Sprint(i)))
				crashed[addresses[i]] = i < endpoints/2
			}
			p := Pathfinder{Seed: 1}
			wrong := 0
			for range probes {
				first, more := p.Candidates(addresses, addresses[0])
				if !slices.ContainsFunc(append(first, more...), func(a dotterelpulley.Address) bool { return !crashed[a] }) {
					wrong++
				}
			}
			c.Assert(wrong <= probes/1000, qt.IsTrue, qt.Commentf("%d of %d", wrong, probes))
		})
	}
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
