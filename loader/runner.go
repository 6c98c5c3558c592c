package loader

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// Progress is what a run has done so far.
type Progress struct {
	Arrived  int
	Finished int
	Whole    int
	Elapsed  time.Duration
}

// Runner sends planned arrivals at their times; set Entries before Run.
type Runner struct {
	// Entries are hosts to ask first for addresses.
	Entries []dotterelpulley.Address
	Retry   Retry
	// Report is called about once a second, if set.
	Report func(Progress)

	http     *sender
	start    time.Time
	mu       sync.Mutex
	results  []Result
	progress Progress
	callers  map[callerID]*caller
}

type callerID struct {
	zone         dotterelpulley.ZoneID
	organisation dotterelpulley.OrganisationID
}

const reportInterval = time.Second

// Run sends the arrivals, waits for all answers and returns them; a cancelled context stops new arrivals.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []Result {
	r.http = newSender()
	r.start = time.Now()
	r.callers = map[callerID]*caller{}
	done := make(chan struct{})
	var reporter, sends conc.WaitGroup
	reporter.Go(func() { r.reportUntil(done) })
	for _, a := range arrivals {
		if !r.waitFor(ctx, a.At) {
			break
		}
		c := r.caller(a)
		r.count(func(p *Progress) { p.Arrived++ })
		sends.Go(func() { r.finish(c.run(a)) })
	}
	sends.Wait()
	close(done)
	reporter.Wait()
	return r.results
}

func (r *Runner) waitFor(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

func (r *Runner) reportUntil(done <-chan struct{}) {
	if r.Report == nil {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			r.Report(r.snapshot())
		}
	}
}

func (r *Runner) snapshot() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.progress
	p.Elapsed = time.Since(r.start)
	return p
}

func (r *Runner) count(change func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.progress)
}

func (r *Runner) finish(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	r.progress.Finished++
	if _, ok := result.Whole(); ok {
		r.progress.Whole++
	}
}

// caller returns the caller of the arrival's organisation and zone.
func (r *Runner) caller(a Arrival) *caller {
	id := callerID{zone: a.Zone, organisation: a.Request.Key.Organisation}
	c, ok := r.callers[id]
	if !ok {
		c = &caller{zone: a.Zone, given: r.Entries, retry: r.Retry, http: r.http, start: r.start}
		r.callers[id] = c
	}
	return c
}
