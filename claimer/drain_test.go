package claimer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// TestRequestsBesideADrainAreAnswered drains one host while requests arrive at the others.
func TestRequestsBesideADrainAreAnswered(t *testing.T) {
	const (
		seeds     = 30
		requests  = 200
		joined    = 300 * time.Millisecond
		drainedBy = 4 * time.Second
		spread    = 200 * time.Millisecond
		handover  = 100 * time.Millisecond
		length    = 10 * time.Second
	)
	for _, tc := range []struct {
		name string
		// lag is the longest delay of what a host reads from the log.
		lag time.Duration
		// outage reports that the log is out once the ranges have been handed over.
		outage bool
	}{
		{name: "log read at once"},
		{name: "log read up to 20 ms late", lag: 20 * time.Millisecond},
		{name: "log read up to 100 ms late", lag: 100 * time.Millisecond},
		{name: "log read up to 500 ms late", lag: 500 * time.Millisecond},
		{name: "log out after the handover", outage: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newWorld(seed+1, profile{})
				draining := w.nodes[w.rand.IntN(len(w.nodes))]
				others := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n == draining })
				drain := w.between(joined, drainedBy)
				w.after(drain, func() {
					for _, n := range others {
						n.readLag = w.between(0, tc.lag+1)
					}
					draining.step(draining.core, claimer.DrainStarted{})
				})
				if tc.outage {
					w.log.outageWindows = append(w.log.outageWindows, [2]time.Time{w.now.Add(drain + handover), w.now.Add(length)})
				}
				answers := map[dotterelpulley.Key]answer{}
				for i := range requests {
					w.after(drain+w.between(-spread, spread), func() {
						submit := claimer.Submit{Key: w.newKey(i), Fingerprint: 1}
						others[w.rand.IntN(len(others))].receive(submit, func(a answer) { answers[submit.Key] = a })
					})
				}
				w.run(length)
				qt.Check(t, len(answers), qt.Equals, requests, qt.Commentf("seed %d", seed+1))
				for key, a := range answers {
					qt.Check(t, a.answered, qt.IsTrue, qt.Commentf("seed %d, %s: %s", seed+1, key, a.kind))
					qt.Check(t, w.runs[key], qt.Equals, 1)
				}
			}
		})
	}
}
