package claimer_test

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc/pool"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

var (
	schedules = flag.Uint64("schedules", 1000, "number of seeded schedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

type score struct {
	duplicates  int
	falseNotRun int
	answered    int
	notRun      int
	unknown     int
	runs        int
}

func newWorld(seed uint64, p profile) *world {
	start := time.UnixMilli(1_800_000_000_000)
	w := &world{
		rand:    rand.New(rand.NewPCG(seed, 1)),
		start:   start,
		now:     start,
		profile: p,
		listed:  map[dotterelpulley.HostID]bool{},
		runs:    map[dotterelpulley.Key]int{},
	}
	for _, id := range []dotterelpulley.HostID{"a", "b", "c"} {
		w.addNode(id)
	}
	return w
}

const (
	scheduleLength = 70 * time.Second
	faultsUntil    = 45 * time.Second
	hostFailureAt  = 20 * time.Second
	unlistDelay    = 2 * time.Second
)

func runSchedule(seed uint64, p profile, naive bool) score {
	return runWorld(seed, p, naive).score()
}

func runWorld(seed uint64, p profile, naive bool) *world {
	w := newWorld(seed, p)
	w.naive = naive
	if p.faults {
		for range 1 + w.rand.IntN(5) {
			w.after(w.between(2*time.Second, faultsUntil), w.fault)
		}
	}
	if p.hostCutFromLog {
		w.after(w.between(3*time.Second, 8*time.Second), func() { w.nodes[0].logCutUntil = w.now.Add(faultsUntil) })
	}
	if p.hostFailure {
		w.after(hostFailureAt, func() {
			w.nodes[0].stop()
			w.after(unlistDelay, func() { delete(w.listed, w.nodes[0].id) })
		})
	}
	if p.slowLog {
		w.log.slowWindows = append(w.log.slowWindows, [2]time.Time{w.now.Add(3 * time.Second), w.now.Add(time.Hour)})
	}
	if p.logOutage {
		w.log.outageWindows = append(w.log.outageWindows, [2]time.Time{w.now.Add(3 * time.Second), w.now.Add(time.Hour)})
	}
	for i := range p.callers {
		w.after(w.between(4*time.Second, p.length), func() { w.addCaller(i) })
	}
	w.run(scheduleLength)
	return w
}

func (w *world) fault() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	window := [2]time.Time{w.now, w.now.Add(w.between(time.Second, 30*time.Second))}
	fault := w.rand.IntN(10)
	w.trace("fault %d at %s %v", fault, n.id, window)
	switch fault {
	case 0:
		n.stop()
		w.after(w.between(time.Second, 6*time.Second), n.startUp)
	case 1:
		n.stop()
		w.after(w.between(time.Second, 5*time.Second), func() { delete(w.listed, n.id) })
	case 2:
		n.stop()
	case 3:
		if until := w.now.Add(w.between(100*time.Millisecond, 30*time.Second)); until.After(n.pausedUntil) {
			n.pausedUntil = until
		}
	case 4:
		w.log.outageWindows = append(w.log.outageWindows, window)
	case 5:
		w.log.slowWindows = append(w.log.slowWindows, window)
	case 6:
		w.partitionedUntil = window[1]
	case 7, 8:
		n.logCutUntil = w.now.Add(w.between(time.Second, 40*time.Second))
		if w.chance(0.3) {
			w.after(w.between(time.Second, 20*time.Second), n.stop)
		}
	case 9:
		w.joinOrLeave(n)
	}
	if w.chance(0.3) {
		w.after(w.between(0, 300*time.Millisecond), w.fault)
	}
}

func (w *world) score() score {
	s := score{falseNotRun: w.falseNotRun}
	for key, n := range w.runs {
		if n > 1 {
			w.trace("%s ran %d times", key, n)
		}
		s.runs += n
		s.duplicates += max(n-1, 0)
	}
	for _, c := range w.callers {
		switch {
		case c.last.answered:
			s.answered++
		case c.notRun:
			s.notRun++
			if c.done && w.runs[c.key] > 0 {
				w.trace("%s was reported as not run", c.key)
				s.falseNotRun++
			}
		default:
			s.unknown++
		}
	}
	return s
}

func runSchedules(p profile, naive bool, first, count uint64, each func(uint64, score)) score {
	var total [6]atomic.Int64
	workers := pool.New().WithMaxGoroutines(min(4, runtime.GOMAXPROCS(0)))
	for seed := first; seed < first+count; seed++ {
		workers.Go(func() {
			s := runSchedule(seed, p, naive)
			for i, v := range []int{s.duplicates, s.falseNotRun, s.answered, s.notRun, s.unknown, s.runs} {
				total[i].Add(int64(v))
			}
			each(seed, s)
		})
	}
	workers.Wait()
	v := func(i int) int { return int(total[i].Load()) }
	return score{duplicates: v(0), falseNotRun: v(1), answered: v(2), notRun: v(3), unknown: v(4), runs: v(5)}
}

func TestEachSafeguardIsNeeded(t *testing.T) {
	if testing.Short() {
		t.Skip("disabling safeguards is tested in full test runs only")
	}
	const count = 300
	p := profile{faults: true, hostCutFromLog: true, callers: 24, length: faultsUntil}
	for name, f := range map[string]flaw{
		"lease unchecked":       leaseUnchecked,
		"takeover always clean": takeoverAlwaysClean,
		"claims unread":         claimsUnread,
		"refusals forgotten":    refusalsForgotten,
	} {
		t.Run(name, func(t *testing.T) {
			p.flaw = f
			got := runSchedules(p, false, 1, count, func(uint64, score) {})
			t.Logf("%+v", got)
			qt.Check(t, got.duplicates+got.falseNotRun > 0, qt.IsTrue)
		})
	}
}

func TestNoKeyRunsTwiceAndNotRunIsTrue(t *testing.T) {
	c := qt.New(t)
	count := *schedules
	if testing.Short() {
		count = min(count, 100)
	}
	p := profile{faults: true, callers: 24, length: faultsUntil}
	got := runSchedules(p, false, *firstSeed, count, func(seed uint64, s score) {
		if s.duplicates+s.falseNotRun > 0 {
			t.Errorf("seed %d: %d duplicates, %d false not-run", seed, s.duplicates, s.falseNotRun)
		}
	})
	naive := runSchedules(p, true, *firstSeed, count, func(uint64, score) {})
	t.Logf("schedules %d from seed %d", count, *firstSeed)
	t.Logf("claimer %+v", got)
	t.Logf("naive   %+v", naive)
	c.Check(got.duplicates, qt.Equals, 0)
	c.Check(got.falseNotRun, qt.Equals, 0)
	const enough = 100
	if count < enough {
		return
	}
	c.Check(naive.duplicates > 0, qt.IsTrue)
	c.Check(naive.falseNotRun > 0, qt.IsTrue)
}

// joinOrLeave adds a new host or drains an existing one.
func (w *world) joinOrLeave(n *node) {
	if len(w.nodes) < 5 && w.chance(0.5) {
		w.addNode(dotterelpulley.HostID([]string{"d", "e"}[len(w.nodes)-3]))
		return
	}
	if !n.alive {
		return
	}
	core := n.core
	n.step(core, claimer.DrainStarted{})
	w.after(w.between(500*time.Millisecond, 3*time.Second), func() { n.step(core, claimer.SignOff{}) })
}

// TestRegressionSeeds runs the seeds that have found faults before.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{61, 103, 199, 6090, 6613, 7343, 11123} {
		s := runSchedule(seed, profile{faults: true, callers: 24, length: faultsUntil}, false)
		qt.Check(t, s.duplicates+s.falseNotRun, qt.Equals, 0, qt.Commentf("seed %d", seed))
	}
}
