package rehearsal_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/rehearsal"
)

// inForceLimit is how soon an accepted configuration is in force on every live host.
const inForceLimit = 7 * time.Second

func TestConfigurationIsInForceEverywhereInTime(t *testing.T) {
	const seeds = 200
	for _, row := range []struct{ fleet, readers int }{{8, 1}, {8, 4}, {350, 18}, {350, 35}, {350, 175}} {
		c := qt.New(t)
		var times []time.Duration
		for seed := range uint64(seeds) {
			took := rehearsal.Spread(row.fleet, row.readers, seed)
			c.Check(took < inForceLimit, qt.IsTrue, qt.Commentf("seed %d: %s", seed, took))
			times = append(times, took)
		}
		slices.Sort(times)
		t.Logf("%d hosts, %d read the log: median %s, longest of %d seeds %s",
			row.fleet, row.readers, times[seeds/2], seeds, times[seeds-1])
	}
}
