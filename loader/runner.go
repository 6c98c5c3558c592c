package loader

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// Progress counts the requests of a run so far.
type Progress struct {
	Arrived   int
	Finished  int
	Completed int
	Elapsed   time.Duration
}

// Runner sends planned arrivals at their scheduled times; set Entries before Run.
type Runner struct {
	// Entries are the entry hosts first queried for addresses.
	Entries []dotterelpulley.Address
	Retry   Retry
	// Report is called about once a second if it is not nil.
	Report func(Progress)

	sender   *sender
	start    time.Time
	mu       sync.Mutex
	results  []Result
	progress Progress
	callers  map[callerKey]*caller
}

type callerKey struct {
	zone         dotterelpulley.ZoneID
	organisation dotterelpulley.OrganisationID
}

const reportInterval = time.Second

// Run sends the arrivals, waits for all answers and returns the results; cancelling the context stops new arrivals.
func (r *Runner) Run(ctx context.Context, arrivals []Arrival) []Result {
	r.sender = newSender()
	r.start = time.Now()
	r.callers = map[callerKey]*caller{}
	done := make(chan struct{})
	var reporter, requests conc.WaitGroup
	reporter.Go(func() { r.reportProgress(done) })
	for _, a := range arrivals {
		if !r.waitUntil(ctx, a.At) {
			break
		}
		c := r.caller(a)
		r.updateProgress(func(p *Progress) { p.Arrived++ })
		requests.Go(func() { r.addResult(c.run(a)) })
	}
	requests.Wait()
	close(done)
	reporter.Wait()
	return r.results
}

func (r *Runner) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

func (r *Runner) reportProgress(done <-chan struct{}) {
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

func (r *Runner) updateProgress(change func(*Progress)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.progress)
}

func (r *Runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
	r.progress.Finished++
	if _, ok := result.Completed(); ok {
		r.progress.Completed++
	}
}

// caller returns the caller for the arrival's organisation and zone, creating it on first use.
func (r *Runner) caller(a Arrival) *caller {
	key := callerKey{zone: a.Zone, organisation: a.Request.Key.Organisation}
	c, ok := r.callers[key]
	if !ok {
		c = &caller{zone: a.Zone, entries: r.Entries, retry: r.Retry, sender: r.sender, start: r.start}
		r.callers[key] = c
	}
	return c
}
