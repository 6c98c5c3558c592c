package drainer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/drainer"
)

// Requests that came late in a planned stop were cut at its end. Callers that keep sending every 50 ms until the host has ended,
// with short and long deadlines, lose none of those that are admitted once the first callers have gone elsewhere.
func TestWhatComesLateInADrainEndsBeforeIt(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	const grace = 7440 * time.Millisecond
	drain := drainer.Drain{StartedAt: start, EndsAt: start.Add(grace)}
	admitted := map[time.Duration]int{}
	for after := time.Duration(0); after < grace; after += 50 * time.Millisecond {
		for _, timeLeft := range []time.Duration{time.Second, 3 * time.Second, 15 * time.Second} {
			now := start.Add(after)
			if !drain.Admits(now, now.Add(timeLeft)) {
				continue
			}
			admitted[timeLeft]++
			if after > drainer.AdmissionTime {
				c.Assert(now.Add(timeLeft).After(drain.EndsAt), qt.IsFalse, qt.Commentf("sent after %s with %s left", after, timeLeft))
			}
		}
	}
	c.Assert(admitted, qt.DeepEquals, map[time.Duration]int{time.Second: 129, 3 * time.Second: 89, 15 * time.Second: 51})
}
