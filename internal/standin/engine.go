package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultStep        = 25 * time.Millisecond
	defaultBudget      = 512
	defaultSlots       = 32
	defaultCacheBytes  = 4 << 20
	defaultGrace       = 10 * time.Second
	keptEndedJobs      = 2000
	defaultReportLag   = 500 * time.Millisecond
	snapshotsPerLag    = 8
	throughputInterval = time.Second
)

// Engine stands in for a model engine; the zero value serves no version.
type Engine struct {
	server
	ID         dotterelpulley.EndpointID
	Service    dotterelpulley.ServiceID
	Zone       dotterelpulley.ZoneID
	Generation dotterelpulley.Generation
	// Versions are loaded from the start, each as "MODEL@VERSION".
	Versions []string
	// Speed divides the time of a step; 1 if zero.
	Speed float64
	// Step is the time of a step at speed 1; 25 ms if zero.
	Step time.Duration
	// Budget is how many tokens a step works through; 512 if zero.
	Budget int
	// Slots is how many requests run at once; 32 if zero.
	Slots int
	// CacheBytes is the memory for prompt prefixes; 4 MiB if zero.
	CacheBytes int
	// Grace is how long a run goes on when its connection has broken; 10 s if zero.
	Grace time.Duration
	// LateHead makes a streamed answer's head come with its first token, as many engines do.
	LateHead bool
	// ReportLag is how old a load report is; 0.5 s if zero.
	ReportLag time.Duration
	// EventLag is how late cache events come.
	EventLag time.Duration
	// EventGap leaves out every cache event whose number it divides; none if zero.
	EventGap int
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// WeightStore is where ordered versions are fetched from; they load at once if empty.
	WeightStore dotterelpulley.Address
	// LoadTime is how long a load takes after its fetch.
	LoadTime time.Duration
	// Behaviours are the bad versions.
	Behaviours map[string]Behaviour
	// Ledger keeps what ran.
	Ledger Ledger

	state     sync.Mutex
	work      batch
	jobs      map[string]*job
	ended     []string
	wake      chan struct{}
	exposures map[string]*versionExposure
	faults    engineFaults
	load      loadHistory
	orders    orderState
	crashes   int
}

// engineFaults are the faults that only engines have.
type engineFaults struct {
	crashOn     string
	crashReturn time.Duration
	slowFactor  float64
	leaving     bool
	lying       bool
	notAdmitted bool
}

type versionExposure struct {
	first    time.Time
	requests int
}

// Start serves the engine on the address.
func (e *Engine) Start(address dotterelpulley.Address) error {
	e.work.slots = orDefault(e.Slots, defaultSlots)
	e.work.budget = orDefault(e.Budget, defaultBudget)
	e.work.cache.capacity = orDefault(e.CacheBytes, defaultCacheBytes)
	e.jobs = map[string]*job{}
	e.wake = make(chan struct{}, 1)
	e.exposures = map[string]*versionExposure{}
	e.orders.role = roleBoth
	e.orders.versions = append([]string(nil), e.Versions...)
	e.orders.state = orderDone
	if err := e.start(address, e.routes); err != nil {
		return err
	}
	e.tasks.Go(e.run)
	return nil
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// run steps the batch until the engine closes.
func (e *Engine) run() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-timer.C:
		}
		busy, pause := e.step(time.Now())
		if !busy {
			select {
			case <-e.done:
				return
			case <-e.wake:
			}
			next = time.Now()
		}
		next = next.Add(pause)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		timer.Reset(time.Until(next))
	}
}

// step runs one step and returns whether there is more to do, and how long the step takes.
func (e *Engine) step(now time.Time) (bool, time.Duration) {
	e.state.Lock()
	defer e.state.Unlock()
	e.cutDetached(now)
	ready, moved := e.work.step()
	e.load.emitted(now, len(moved))
	for _, j := range ready {
		if e.faults.crashOn != "" && strings.Contains(j.prompt, e.faults.crashOn) {
			e.crash(now)
			break
		}
	}
	for _, j := range moved {
		e.progress(j, now)
	}
	busy := !e.work.idle()
	must := mayDrop
	if !busy {
		must = keepAlways
	}
	e.snapshot(now, must)
	return busy, e.stepTime()
}

func (e *Engine) stepTime() time.Duration {
	step := float64(orDefault(e.Step, defaultStep))
	step /= orDefault(e.Speed, 1)
	if e.faults.slowFactor > 0 {
		step *= e.faults.slowFactor
	}
	return time.Duration(step)
}

// progress tells readers that the job has moved, and books its end; e.state is held.
func (e *Engine) progress(j *job, now time.Time) {
	close(j.changed)
	j.changed = make(chan struct{})
	if !j.ended() {
		return
	}
	e.Ledger.update(j.entry, func(r *Run) {
		if r.Outcome != OutcomeRunning {
			return
		}
		r.Outcome = j.outcome
		r.Ended = now
		r.Tokens = j.emitted
		r.CachedTokens = j.cached
		r.Prefilled = max(0, j.prefill-j.cached)
		r.Digest = Digest(j.output[:j.emitted])
	})
}

// end ends a job that is not to run on; e.state is held.
func (e *Engine) end(j *job, outcome Outcome, now time.Time) {
	if j.ended() {
		return
	}
	j.outcome = outcome
	e.work.remove()
	e.progress(j, now)
}

// cutDetached ends the jobs that nobody has read for the time of grace; e.state is held.
func (e *Engine) cutDetached(now time.Time) {
	grace := orDefault(e.Grace, defaultGrace)
	var cut []*job
	for _, jobs := range [][]*job{e.work.running, e.work.waiting} {
		for _, j := range jobs {
			if j.readers == 0 && !j.detached.IsZero() && now.Sub(j.detached) >= grace {
				cut = append(cut, j)
			}
		}
	}
	for _, j := range cut {
		e.end(j, OutcomeCut, now)
	}
}

// submit starts a run; e.state is held.
func (e *Engine) submit(j *job, now time.Time) {
	seen := e.exposures[j.version]
	if seen == nil {
		seen = &versionExposure{first: now}
		e.exposures[j.version] = seen
	}
	seen.requests++
	behaviour := e.Behaviours[j.version]
	bad := behaviour.bad(exposure{
		requests: seen.requests,
		running:  e.runningOf(j.version) + 1,
		age:      now.Sub(seen.first),
		route:    j.route,
	})
	if bad {
		j.slow = behaviour.SlowFactor
		j.fails = behaviour.SlowFactor == 0
	}
	e.adopt(j)
	e.work.waiting = append(e.work.waiting, j)
	e.snapshot(now, mayDrop)
	e.rouse()
}

// adopt makes the job known for resumes; e.state is held.
func (e *Engine) adopt(j *job) {
	j.changed = make(chan struct{})
	e.jobs[j.id] = j
	e.ended = append(e.ended, j.id)
	for len(e.ended) > keptEndedJobs {
		old := e.ended[0]
		e.ended = e.ended[1:]
		if known := e.jobs[old]; known != nil && known.ended() {
			delete(e.jobs, old)
		}
	}
}

func (e *Engine) runningOf(version string) int {
	n := 0
	for _, jobs := range [][]*job{e.work.running, e.work.waiting} {
		for _, j := range jobs {
			if j.version == version {
				n++
			}
		}
	}
	return n
}

func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
