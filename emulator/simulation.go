package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	tickInterval    = 50 * time.Millisecond
	reportInterval  = 500 * time.Millisecond
	cacheEventDelay = time.Second
	// cacheEventLoss is the fraction of cache events that are lost.
	cacheEventLoss = 0.2
	// crashDetectionDelay is how long the other entry hosts take to detect a crash.
	crashDetectionDelay = 2 * time.Second
	// drainPeriod is how long a run continues after the last arrival.
	drainPeriod = 5 * time.Minute
)

// Policy selects the implementation of the entry hosts.
type Policy int

// The compared implementations.
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

// Setup configures one experiment; both policies run with the same setup.
type Setup struct {
	Seed       uint64
	EntryHosts int
	// Speeds are the relative speeds of the engines, 1 for the reference speed.
	Speeds []float64
	// ZeroLoadEngines is the number of engines, from the second on, that always report a load of zero.
	ZeroLoadEngines int
	// ReportLag is the age of a load report on arrival.
	ReportLag time.Duration
	Workloads []Workload
	Duration  time.Duration
	// CrashAt is when the last entry host crashes; never if zero.
	CrashAt time.Duration
}

// entryHost is one entry host, called by the simulation.
type entryHost interface {
	submit(r *request)
	expire(r *request)
	tick()
	reportLoad(e *engine, r picker.Report)
	reportCachedPrefix(e *engine, hash picker.PrefixHash)
	setHostCount(n int)
	crash()
}

type simulation struct {
	clock   clock
	engines []*engine
	hosts   []entryHost
	Result
}

// Run simulates the setup under the policy.
func Run(policy Policy, setup Setup) Result {
	s := &simulation{Result: Result{Policy: policy, Duration: setup.Duration}}
	capacity := 0.0
	for i, speed := range setup.Speeds {
		e := newEngine(&s.clock, dotterelpulley.EndpointID(fmt.Sprintf("engine-%d", i)), speed)
		e.reportsZeroLoad = i >= 1 && i <= setup.ZeroLoadEngines
		s.engines = append(s.engines, e)
		capacity += speed
	}
	for i := range setup.EntryHosts {
		s.hosts = append(s.hosts, newEntryHost(policy, s, setup, uint64(i)))
	}
	s.run(setup, capacity)
	s.computeImbalance()
	return s.Result
}

func newEntryHost(policy Policy, s *simulation, setup Setup, index uint64) entryHost {
	switch policy {
	case Routed:
		return newRoutedHost(s, setup.Seed*1000+index, setup.EntryHosts)
	case Naive:
		return newNaiveHost(s)
	}
	return newNaiveHost(s)
}

func (s *simulation) run(setup Setup, capacity float64) {
	for _, r := range generateRequests(setup.Seed, setup.Workloads, setup.Duration, capacity) {
		s.clock.schedule(r.arrived, func() { s.submit(r) })
	}
	random := rand.New(rand.NewPCG(setup.Seed, 99))
	for _, e := range s.engines {
		s.reportPeriodically(e, setup.ReportLag, random)
	}
	s.tickHosts()
	if setup.CrashAt > 0 {
		s.clock.schedule(setup.CrashAt, func() { s.crashLastHost(setup.EntryHosts) })
	}
	s.clock.run(setup.Duration + drainPeriod)
}

func (s *simulation) submit(r *request) {
	for _, t := range []*Tally{s.tierTally(r), s.organisationTally(r)} {
		t.Arrived++
		t.ArrivedWork += engineTime(r.prompt, r.output)
	}
	host := s.hosts[r.hostSelector%uint64(len(s.hosts))]
	host.submit(r)
	s.clock.schedule(r.deadline-r.arrived, func() { host.expire(r) })
}

// crashLastHost stops the last entry host; the other hosts receive its callers from then on.
func (s *simulation) crashLastHost(hostCount int) {
	s.hosts[hostCount-1].crash()
	s.hosts = s.hosts[:hostCount-1]
	s.clock.schedule(crashDetectionDelay, func() {
		for _, h := range s.hosts {
			h.setHostCount(len(s.hosts))
		}
	})
}

func (s *simulation) tickHosts() {
	for _, h := range s.hosts {
		h.tick()
	}
	s.clock.schedule(tickInterval, s.tickHosts)
}

func (s *simulation) reportPeriodically(e *engine, lag time.Duration, random *rand.Rand) {
	e.onTokenGap = s.recordTokenGap
	report := picker.Report{Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: s.clock.now()}
	if e.reportsZeroLoad {
		report.Running, report.Waiting = 0, 0
	}
	s.clock.schedule(lag, func() {
		for _, h := range s.hosts {
			h.reportLoad(e, report)
		}
	})
	for _, hash := range e.newPrefixes {
		if random.Float64() < cacheEventLoss {
			continue
		}
		s.clock.schedule(cacheEventDelay, func() {
			for _, h := range s.hosts {
				h.reportCachedPrefix(e, hash)
			}
		})
	}
	e.newPrefixes = e.newPrefixes[:0]
	s.clock.schedule(reportInterval, func() { s.reportPeriodically(e, lag, random) })
}

func (s *simulation) findEngine(id dotterelpulley.EndpointID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
