package entry

import (
	"context"
	"sync"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// grant is the leave to send a request to an endpoint once.
type grant struct {
	endpoint known
	version  dotterelpulley.VersionID
	release  func(attemptResult)
}

// queue admits requests in the order of their arrival and goes round the endpoints.
type queue struct {
	endpoints *endpoints
	limits    Limits

	mu      sync.Mutex
	waiting []*waiter
	running map[dotterelpulley.EndpointID]int
	next    int
}

type waiter struct {
	request dotterelpulley.Request
	avoid   map[dotterelpulley.EndpointID]bool
	granted chan grant
}

// acquire waits until an endpoint may take the request.
func (q *queue) acquire(ctx context.Context, req dotterelpulley.Request, avoid map[dotterelpulley.EndpointID]bool) (grant, *dotterelpulley.Refusal) {
	w := &waiter{request: req, avoid: avoid, granted: make(chan grant, 1)}
	if !q.join(w) {
		return grant{}, dotterelpulley.Refuse(dotterelpulley.ErrorShed, 0, "the queue is full")
	}
	q.dispatch()
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	if q.remove(w) {
		return grant{}, dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
	}
	g := <-w.granted
	g.release(attemptNotStarted{})
	return grant{}, dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
}

func (q *queue) join(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.limits.Waiting {
		return false
	}
	q.waiting = append(q.waiting, w)
	return true
}

func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, have := range q.waiting {
		if have == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch grants every waiting request that an endpoint can take.
func (q *queue) dispatch() {
	all := q.endpoints.all()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running == nil {
		q.running = map[dotterelpulley.EndpointID]int{}
	}
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !q.grant(w, all) {
			kept = append(kept, w)
		}
	}
	q.waiting = kept
}

func (q *queue) grant(w *waiter, all []known) bool {
	for i := range all {
		k := all[(q.next+i)%len(all)]
		if !q.fits(w, k) {
			continue
		}
		q.next += i + 1
		q.running[k.ID]++
		w.granted <- grant{endpoint: k, version: firstVersion(k), release: q.releaser(k.ID)}
		return true
	}
	return false
}

func (q *queue) fits(w *waiter, k known) bool {
	if k.Service != w.request.Service || k.State != dotterelpulley.EndpointLive || w.avoid[k.ID] {
		return false
	}
	if k.kind == lister.KindEngine && len(k.Versions) == 0 {
		return false
	}
	slots := k.report.slots
	if slots == 0 {
		slots = q.limits.Slots
	}
	return q.running[k.ID] < slots
}

func firstVersion(k known) dotterelpulley.VersionID {
	if len(k.Versions) == 0 {
		return ""
	}
	return k.Versions[0]
}

func (q *queue) releaser(id dotterelpulley.EndpointID) func(attemptResult) {
	var once sync.Once
	return func(attemptResult) {
		once.Do(func() {
			q.mu.Lock()
			q.running[id]--
			q.mu.Unlock()
			q.dispatch()
		})
	}
}
