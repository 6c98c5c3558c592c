package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// run is the state of one request on the host that dispatches it.
type run struct {
	request dotterelpulley.Request
	output  *output
	ctx     context.Context
	cancel  context.CancelFunc

	// session and ticket identify the request's claim.
	session *session
	ticket  claimer.Ticket
	// claim receives the decision on the run's only claim.
	claim chan claimDecision

	// refusal is the refusal that the run ended with, or nil.
	refusal *dotterelpulley.Refusal

	subscribers      int
	lastUnsubscribed time.Time
	ended            bool
}

// runs holds the active runs of this host.
type runs struct {
	mu   sync.Mutex
	runs map[*run]struct{}
	// forwarded is the number of active requests that other hosts run for callers of this host.
	forwarded int
}

// add adds a new run.
func (t *runs) add(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[*run]struct{}{}
	}
	r.lastUnsubscribed = time.Now()
	t.runs[r] = struct{}{}
}

// subscribe returns a subscription to the run's answer.
func (t *runs) subscribe(r *run) subscription {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.subscribers++
	return subscription{output: r.output, cancel: func() { t.unsubscribe(r, time.Now()) }}
}

// unsubscribe ends one subscription to the run's answer.
func (t *runs) unsubscribe(r *run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.subscribers--
	r.lastUnsubscribed = now
}

// end marks the run as ended.
func (t *runs) end(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	r.cancel()
	delete(t.runs, r)
}

// addForwarded counts a request as forwarded until the returned function is called.
func (t *runs) addForwarded() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarded++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.forwarded--
	}
}

// cancelAbandoned cancels plans that have had no subscriber for longer than the abandon timeout.
func (t *runs) cancelAbandoned(now time.Time, timeouts Timeouts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.runs {
		abandoned := r.subscribers == 0 && now.Sub(r.lastUnsubscribed) > timeouts.Abandon
		if abandoned && r.request.Kind == dotterelpulley.KindPlan {
			r.cancel()
		}
	}
}

// active returns the number of requests that have not ended.
func (t *runs) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs) + t.forwarded
}
