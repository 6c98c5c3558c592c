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
	maxKeptJobs        = 2000
	defaultReportLag   = 500 * time.Millisecond
	snapshotsPerLag    = 8
	throughputInterval = time.Second
)

// Engine simulates a model engine; the zero value serves no version.
type Engine struct {
	server
	ID         dotterelpulley.EndpointID
	Service    dotterelpulley.ServiceID
	Zone       dotterelpulley.ZoneID
	Generation dotterelpulley.Generation
	// Versions are the versions loaded at the start, each as "MODEL@VERSION".
	Versions []string
	// Speed divides the duration of a step; 1 if zero.
	Speed float64
	// Step is the duration of a step at speed 1; 25 ms if zero.
	Step time.Duration
	// Budget is the maximum number of tokens processed in a step; 512 if zero.
	Budget int
	// Slots is the maximum number of concurrent requests; 32 if zero.
	Slots int
	// CacheBytes is the capacity of the prefix cache; 4 MiB if zero.
	CacheBytes int
	// Grace is how long a run continues after its connection was lost; 10 s if zero.
	Grace time.Duration
	// LateHead delays the headers of a streamed response until its first token, as many engines do.
	LateHead bool
	// ReportLag is the minimum age of a returned load report; 0.5 s if zero.
	ReportLag time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventGap omits every cache event whose sequence number is a multiple of it; none if zero.
	EventGap int
	// ChecksFence makes the engine refuse orders with an outdated fencing token.
	ChecksFence bool
	// WeightStore is the address that ordered versions are fetched from; the fetch is skipped if empty.
	WeightStore dotterelpulley.Address
	// LoadTime is the duration of loading a version after its fetch.
	LoadTime time.Duration
	// Behaviours holds the behaviour of versions; a version that is absent is good.
	Behaviours map[string]Behaviour
	// Ledger records the runs.
	Ledger Ledger

	stateMu        sync.Mutex
	batch          batch
	jobs           map[string]*job
	jobIDs         []string
	wake           chan struct{}
	statsByVersion map[string]*versionStats
	faults         engineFaults
	load           loadHistory
	orders         orderState
	crashes        int
}

// engineFaults are the injected faults that are specific to engines.
type engineFaults struct {
	crashOn      string
	restartDelay time.Duration
	slowFactor   float64
	leaving      bool
	reportsIdle  bool
	notAdmitted  bool
}

type versionStats struct {
	firstRequest time.Time
	requests     int
}

// Start serves the engine on the address.
func (e *Engine) Start(address dotterelpulley.Address) error {
	e.batch.slots = orDefault(e.Slots, defaultSlots)
	e.batch.budget = orDefault(e.Budget, defaultBudget)
	e.batch.cache.capacity = orDefault(e.CacheBytes, defaultCacheBytes)
	e.jobs = map[string]*job{}
	e.wake = make(chan struct{}, 1)
	e.statsByVersion = map[string]*versionStats{}
	e.orders.role = roleBoth
	e.orders.versions = append([]string(nil), e.Versions...)
	e.orders.state = orderDone
	if err := e.start(address, e.routes); err != nil {
		return err
	}
	e.tasks.Go(e.run)
	return nil
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// run executes steps of the batch until the engine closes.
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
		busy, duration := e.step(time.Now())
		if !busy {
			select {
			case <-e.done:
				return
			case <-e.wake:
			}
			next = time.Now()
		}
		next = next.Add(duration)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		timer.Reset(time.Until(next))
	}
}

// step runs one step and returns whether work remains, and the duration of the step.
func (e *Engine) step(now time.Time) (bool, time.Duration) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.abortDetached(now)
	ready, changed := e.batch.step()
	e.load.countTokens(now, len(changed))
	for _, j := range ready {
		if e.faults.crashOn != "" && strings.Contains(j.prompt, e.faults.crashOn) {
			e.crash(now)
			break
		}
	}
	for _, j := range changed {
		e.recordProgress(j, now)
	}
	busy := !e.batch.idle()
	mode := snapshotIfDue
	if !busy {
		mode = snapshotAlways
	}
	e.snapshot(now, mode)
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

// recordProgress notifies the readers of the job and records its end in the ledger; e.stateMu must be held.
func (e *Engine) recordProgress(j *job, now time.Time) {
	close(j.changed)
	j.changed = make(chan struct{})
	if !j.ended() {
		return
	}
	e.Ledger.update(j.run, func(r *Run) {
		if r.Outcome != OutcomeRunning {
			return
		}
		r.Outcome = j.outcome
		r.Ended = now
		r.Tokens = j.emitted
		r.CachedTokens = j.cachedTokens
		r.Prefilled = max(0, j.prefilled-j.cachedTokens)
		r.Digest = Digest(j.output[:j.emitted])
	})
}

// endJob ends a job before its completion; e.stateMu must be held.
func (e *Engine) endJob(j *job, outcome Outcome, now time.Time) {
	if j.ended() {
		return
	}
	j.outcome = outcome
	e.batch.removeEnded()
	e.recordProgress(j, now)
}

// abortDetached ends the jobs that have had no reader for the grace period; e.stateMu must be held.
func (e *Engine) abortDetached(now time.Time) {
	grace := orDefault(e.Grace, defaultGrace)
	var expired []*job
	for _, jobs := range [][]*job{e.batch.running, e.batch.waiting} {
		for _, j := range jobs {
			if j.readers == 0 && !j.detachedAt.IsZero() && now.Sub(j.detachedAt) >= grace {
				expired = append(expired, j)
			}
		}
	}
	for _, j := range expired {
		e.endJob(j, OutcomeAborted, now)
	}
}

// submit queues a job; e.stateMu must be held.
func (e *Engine) submit(j *job, now time.Time) {
	stats := e.statsByVersion[j.version]
	if stats == nil {
		stats = &versionStats{firstRequest: now}
		e.statsByVersion[j.version] = stats
	}
	stats.requests++
	behaviour := e.Behaviours[j.version]
	bad := behaviour.bad(exposure{
		requests: stats.requests,
		running:  e.unfinishedJobs(j.version) + 1,
		age:      now.Sub(stats.firstRequest),
		route:    j.route,
	})
	if bad {
		j.slowFactor = behaviour.SlowFactor
		j.fails = behaviour.SlowFactor == 0
	}
	e.addJob(j)
	e.batch.waiting = append(e.batch.waiting, j)
	e.snapshot(now, snapshotIfDue)
	e.signalWork()
}

// addJob makes the job available for resumption and drops the oldest ended jobs; e.stateMu must be held.
func (e *Engine) addJob(j *job) {
	j.changed = make(chan struct{})
	e.jobs[j.id] = j
	e.jobIDs = append(e.jobIDs, j.id)
	for len(e.jobIDs) > maxKeptJobs {
		oldest := e.jobIDs[0]
		e.jobIDs = e.jobIDs[1:]
		if oldJob := e.jobs[oldest]; oldJob != nil && oldJob.ended() {
			delete(e.jobs, oldest)
		}
	}
}

func (e *Engine) unfinishedJobs(version string) int {
	n := 0
	for _, jobs := range [][]*job{e.batch.running, e.batch.waiting} {
		for _, j := range jobs {
			if j.version == version {
				n++
			}
		}
	}
	return n
}

func (e *Engine) signalWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
