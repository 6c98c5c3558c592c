package simulator_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/simulator"
)

// maxPropagationTime bounds the time until every live host uses an accepted configuration.
const maxPropagationTime = 7 * time.Second

func TestConfigurationIsInForceEverywhereInTime(t *testing.T) {
	const seeds = 200
	for _, row := range []struct{ hosts, readers int }{{8, 1}, {8, 4}, {350, 18}, {350, 35}, {350, 175}} {
		c := qt.New(t)
		var times []time.Duration
		for seed := range uint64(seeds) {
			took := simulator.PropagationTime(row.hosts, row.readers, seed)
			c.Check(took < maxPropagationTime, qt.IsTrue, qt.Commentf("seed %d: %s", seed, took))
			times = append(times, took)
		}
		slices.Sort(times)
		t.Logf("%d hosts, %d read the log: median %s, longest of %d seeds %s",
			row.hosts, row.readers, times[seeds/2], seeds, times[seeds-1])
	}
}
