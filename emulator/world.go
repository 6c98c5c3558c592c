package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	tickEvery   = 50 * time.Millisecond
	reportEvery = 500 * time.Millisecond
	cacheLag    = time.Second
	// cacheGaps is the share of cache events that get lost.
	cacheGaps = 0.2
	// deathNoticed is how long the others take to notice a dead entry host.
	deathNoticed = 2 * time.Second
	// drain is how long a run goes on after its last arrival.
	drain = 5 * time.Minute
)

// Policy names a version of the entry hosts.
type Policy int

// The versions that are compared.
const (
	Naive Policy = iota
	Routed
)

// String returns the policy's name.
func (p Policy) String() string {
	if p == Naive {
		return "naive"
	}
	return "routed"
}

// Setup is one experiment; both policies get the same.
type Setup struct {
	Seed    uint64
	Entries int
	// Speeds are the engines' speeds, 1 for the usual one.
	Speeds []float64
	// Liars counts the engines, from the second on, that report no load.
	Liars int
	// ReportLag is the age of a load report when it arrives.
	ReportLag time.Duration
	Uses      []Use
	Span      time.Duration
	// Dies is when the last entry host dies; never if zero.
	Dies time.Duration
}

// router is what an entry host does with requests and reports.
type router interface {
	arrive(r *request)
	expire(r *request)
	tick()
	report(e *engine, r picker.Report)
	cached(e *engine, hash picker.PrefixHash)
	peers(n int)
	die()
}

type world struct {
	clock   clock
	engines []*engine
	routers []router
	Result
}

// Run plays the setup under the policy.
func Run(policy Policy, setup Setup) Result {
	w := &world{Result: Result{Policy: policy, Span: setup.Span}}
	capacity := 0.0
	for i, speed := range setup.Speeds {
		e := newEngine(&w.clock, dotterelpulley.EndpointID(fmt.Sprintf("engine-%d", i)), speed)
		e.lies = i >= 1 && i <= setup.Liars
		w.engines = append(w.engines, e)
		capacity += speed
	}
	for i := range setup.Entries {
		w.routers = append(w.routers, newRouter(policy, w, setup, uint64(i)))
	}
	w.play(setup, capacity)
	w.finish()
	return w.Result
}

func newRouter(policy Policy, w *world, setup Setup, rank uint64) router {
	switch policy {
	case Routed:
		return newRouted(w, setup.Seed*1000+rank, setup.Entries)
	case Naive:
		return newNaive(w)
	}
	return newNaive(w)
}

func (w *world) play(setup Setup, capacity float64) {
	for _, r := range trace(setup.Seed, setup.Uses, setup.Span, capacity) {
		w.clock.after(r.arrived, func() { w.arrive(r) })
	}
	random := rand.New(rand.NewPCG(setup.Seed, 99))
	for _, e := range w.engines {
		w.reports(e, setup.ReportLag, random)
	}
	w.ticks()
	if setup.Dies > 0 {
		w.clock.after(setup.Dies, func() { w.kill(setup.Entries) })
	}
	w.clock.run(setup.Span + drain)
}

func (w *world) arrive(r *request) {
	for _, t := range []*Tally{w.tier(r), w.organisation(r)} {
		t.Arrived++
		t.ArrivedWork += work(r.prompt, r.output)
	}
	to := w.routers[r.home%uint64(len(w.routers))]
	to.arrive(r)
	w.clock.after(r.deadline-r.arrived, func() { to.expire(r) })
}

// kill ends the last entry host; its callers go to the others from then on.
func (w *world) kill(entries int) {
	w.routers[entries-1].die()
	w.routers = w.routers[:entries-1]
	w.clock.after(deathNoticed, func() {
		for _, r := range w.routers {
			r.peers(len(w.routers))
		}
	})
}

func (w *world) ticks() {
	for _, r := range w.routers {
		r.tick()
	}
	w.clock.after(tickEvery, w.ticks)
}

func (w *world) reports(e *engine, lag time.Duration, random *rand.Rand) {
	e.tell = w.gap
	report := picker.Report{Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: w.clock.now()}
	if e.lies {
		report.Running, report.Waiting = 0, 0
	}
	w.clock.after(lag, func() {
		for _, r := range w.routers {
			r.report(e, report)
		}
	})
	for _, hash := range e.stored {
		if random.Float64() < cacheGaps {
			continue
		}
		w.clock.after(cacheLag, func() {
			for _, r := range w.routers {
				r.cached(e, hash)
			}
		})
	}
	e.stored = e.stored[:0]
	w.clock.after(reportEvery, func() { w.reports(e, lag, random) })
}

func (w *world) engine(id dotterelpulley.EndpointID) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
