package announcer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// Guards against verdicts that brief digests leave out.
func TestRolloutsAreInEveryDigest(t *testing.T) {
	c := qt.New(t)
	sent := []Rollout{{
		RolloutOrder: dotterelpulley.RolloutOrder{Service: "s", Target: "v2", Duration: 15 * time.Second},
		Era:          2, Next: 9, Stage: 3, Remaining: 1500 * time.Millisecond,
	}}
	for _, brief := range []bool{false, true} {
		m, err := Decode(Digest{Host: Host{ID: "h"}, Brief: brief, Rollouts: sent}.Encode())
		c.Assert(err, qt.IsNil)
		c.Check(m.(Digest).Rollouts, qt.DeepEquals, sent)
	}
}
