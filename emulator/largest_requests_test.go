package emulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// surgesOfOneKind returns surges of all kinds and, beside them, stronger ones of one kind.
func surgesOfOneKind(kind int) []Surge {
	return []Surge{
		{Start: 2 * time.Second, Duration: 12 * time.Second, Factor: 1.9},
		{Start: 3 * time.Second, Duration: 8 * time.Second, Factor: 2.5, Kinds: []int{kind}},
		{Start: 13 * time.Second, Duration: 6 * time.Second, Factor: 3, Kinds: []int{kind}},
		{Start: 15 * time.Second, Duration: 10 * time.Second, Factor: 2},
		{Start: 22 * time.Second, Duration: 6 * time.Second, Factor: 2.5, Kinds: []int{kind}},
	}
}

// Guards against slots that become free one by one and all go to the smallest requests of a kind.
func TestSurgesOfOneKindDoNotStarveItsLargestRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("a long simulation without goroutines for the race detector; the whole run has it")
	}
	for name, load := range map[string]struct {
		fleet func(seed uint64) Fleet
		// seeds is the number of runs; those of many engines take long.
		seeds int
	}{
		"rooms": {fleet: roomsFleet, seeds: 1},
		"plans": {fleet: func(seed uint64) Fleet { return surgeFleet(seed, 0) }, seeds: 2},
	} {
		fleet, seeds := load.fleet, float64(load.seeds)
		for surging := 1; surging < len(fleet(0).Kinds); surging++ {
			t.Run(fmt.Sprintf("%s, surges of kind %d", name, surging), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				var all, largest, fifthBelow [3]float64
				for seed := range uint64(load.seeds) {
					f := fleet(seed)
					f.ChangeInterval = 10 * time.Millisecond
					f.Duration, f.Drain, f.Surges = 28*time.Second, 15*time.Second, surgesOfOneKind(surging)
					for i, k := range f.Run().Kinds {
						all[i] += k.AnsweredFraction() / seeds
						largest[i] += k.AnsweredBySize(0.9, 1) / seeds
						fifthBelow[i] += k.AnsweredBySize(0.7, 0.9) / seeds
					}
				}
				c.Logf("of all %.2f, of the largest tenth %.2f, of the fifth below %.2f", all, largest, fifthBelow)
				for i := range all {
					// The users' acceptance test requires half.
					c.Check(largest[i] >= 0.5*all[i], qt.IsTrue, qt.Commentf("kind %d", i))
					c.Check(fifthBelow[i] >= 0.5*all[i], qt.IsTrue, qt.Commentf("kind %d", i))
				}
			})
		}
	}
}
