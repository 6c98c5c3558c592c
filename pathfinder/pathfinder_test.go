package pathfinder

import (
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
