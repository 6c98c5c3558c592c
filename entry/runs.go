package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// run is one request's life on the host that dispatches it.
type run struct {
	request dotterelpulley.Request
	output  *output
	ctx     context.Context
	cancel  context.CancelFunc

	// session and ticket name the request's claim.
	session *session
	ticket  claimer.Ticket
	// claim brings the answer to the one claim that is asked for.
	claim chan claimVerdict

	// ending is why the run was not started, in its own words.
	ending *dotterelpulley.Refusal

	watchers int
	left     time.Time
	ended    bool
}

// runs holds the runs of this host that have not ended.
type runs struct {
	mu   sync.Mutex
	open map[*run]struct{}
	// passing is the number of requests that other hosts run for callers of this one.
	passing int
}

// add takes in a new run.
func (t *runs) add(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*run]struct{}{}
	}
	r.left = time.Now()
	t.open[r] = struct{}{}
}

// watch returns a hold on the run's answer.
func (t *runs) watch(r *run) watch {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.watchers++
	return watch{output: r.output, leave: func() { t.leave(r, time.Now()) }}
}

// leave says that one watcher of the run has gone.
func (t *runs) leave(r *run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.watchers--
	r.left = now
}

// end marks the run ended.
func (t *runs) end(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	r.cancel()
	delete(t.open, r)
}

// pass counts a request that another host runs until the returned function is called.
func (t *runs) pass() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.passing++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.passing--
	}
}

// sweep cancels plans that nobody watches.
func (t *runs) sweep(now time.Time, timeouts Timeouts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.open {
		abandoned := r.watchers == 0 && now.Sub(r.left) > timeouts.Abandon
		if abandoned && r.request.Kind == dotterelpulley.KindPlan {
			r.cancel()
		}
	}
}

// live returns the number of requests that have not ended.
func (t *runs) live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) + t.passing
}
