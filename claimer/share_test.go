package claimer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// TestOutcomeSharesByKind reports the outcomes of each kind of request with the log up, slow and in an outage,
// without and with a host failure, and limits the share of each kind that is not served.
func TestOutcomeSharesByKind(t *testing.T) {
	const callers, seeds = 300, 5
	for _, p := range []struct {
		name string
		profile
		maxUnserved float64
	}{
		{"up", profile{}, 0},
		{"slow", profile{slowLog: true}, 0},
		{"out", profile{logOutage: true}, 0},
		{"up, one host of three dies", profile{hostFailure: true}, 0.25},
		{"slow, one host of three dies", profile{slowLog: true, hostFailure: true}, 0.25},
		{"out, one host of three dies", profile{logOutage: true, hostFailure: true}, 0.5},
	} {
		p.callers, p.length = callers, faultsUntil
		var outcomes [dotterelpulley.KindBooking + 1][3]int
		var waits [dotterelpulley.KindBooking + 1][]time.Duration
		appends, bytes, claims := 0, 0, 0
		var unservedAfterFailure time.Duration
		for seed := range uint64(seeds) {
			w := runWorld(seed+1, p.profile, false)
			c := w.score()
			qt.Check(t, c.duplicates+c.falseNotRun, qt.Equals, 0)
			for _, caller := range w.callers {
				outcomes[caller.kind][caller.outcome()]++
			}
			for kind := range waits {
				waits[kind] = append(waits[kind], w.waits[kind]...)
				claims += len(w.waits[kind])
			}
			appends += len(w.log.claims)
			bytes += w.bytes
			if p.hostFailure && !w.lastUnserved.IsZero() {
				unservedAfterFailure = max(unservedAfterFailure, w.lastUnserved.Sub(w.start.Add(hostFailureAt)))
			}
		}
		for kind, row := range outcomes {
			total := row[0] + row[1] + row[2]
			t.Logf("%-30s %-8s served %5.1f%% not-run %5.1f%% unknown %5.1f%%  claim %s", p.name, dotterelpulley.RequestKind(kind),
				share(row[0], total), share(row[1], total), share(row[2], total), percentiles(waits[kind]))
			qt.Check(t, share(total-row[0], total) <= 100*p.maxUnserved, qt.IsTrue)
		}
		t.Logf("%-30s %d claims in %d records of %d bytes, holders were unreachable until %s after the host failure", p.name, claims, appends, bytes, unservedAfterFailure.Round(time.Millisecond))
	}
}

func share(n, total int) float64 {
	const percent = 100
	return percent * float64(n) / float64(max(total, 1))
}

func percentiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	slices.Sort(d)
	const half, twentieth = 2, 20
	return fmt.Sprintf("median %s, 95%% %s", d[len(d)/half].Round(time.Millisecond), d[len(d)-1-len(d)/twentieth].Round(time.Millisecond))
}

// outcome is 0 for a complete answer, 1 for "not run" and 2 for "outcome unknown".
func (c *caller) outcome() int {
	switch {
	case c.last.answered:
		return 0
	case c.notRun:
		return 1
	}
	return 2
}
