package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// grant is the leave to send a request to an endpoint once.
type grant struct {
	endpoint known
	version  dotterelpulley.VersionID
	// load is the part of the endpoint's slots that was taken.
	load    float64
	release func(attemptResult)
}

// queue admits requests in the order of their arrival and goes round the endpoints.
type queue struct {
	endpoints *endpoints
	followed  *followed
	limits    Limits

	mu      sync.Mutex
	waiting []*waiter
	running map[dotterelpulley.EndpointID]int
	next    int
}

type waiter struct {
	request dotterelpulley.Request
	// chosen is the version that the request's place in the count gave it.
	chosen dotterelpulley.VersionID
	// version is the one to run on, or "" for any.
	version dotterelpulley.VersionID
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
	w.version = q.choose(w, all)
	for i := range all {
		k := all[(q.next+i)%len(all)]
		version, fits := q.fits(w, k)
		if !fits {
			continue
		}
		q.next += i + 1
		load := float64(max(k.report.running+k.report.waiting, q.running[k.ID])) / float64(q.slots(k))
		q.running[k.ID]++
		w.granted <- grant{endpoint: k, version: version, load: load, release: q.releaser(k.ID)}
		return true
	}
	return false
}

// choose returns the waiter's version, or "" for any when no endpoint has the one in force.
func (q *queue) choose(w *waiter, all []known) dotterelpulley.VersionID {
	now := time.Now()
	w.chosen = q.followed.version(w.request, w.chosen, now)
	if served(w, all, w.chosen) {
		return w.chosen
	}
	version := q.followed.fallback(w.request.Service, now)
	if served(w, all, version) {
		return version
	}
	return ""
}

// served reports whether an endpoint has the version.
func served(w *waiter, all []known, version dotterelpulley.VersionID) bool {
	for _, k := range all {
		if k.Service == w.request.Service && k.State == dotterelpulley.EndpointLive && k.Serves(version) {
			return true
		}
	}
	return false
}

// fits reports whether the endpoint can take the request, and at which version.
func (q *queue) fits(w *waiter, k known) (dotterelpulley.VersionID, bool) {
	if k.Service != w.request.Service || k.State != dotterelpulley.EndpointLive || w.avoid[k.ID] {
		return "", false
	}
	if q.running[k.ID] >= q.slots(k) {
		return "", false
	}
	if k.kind != lister.KindEngine {
		return "", true
	}
	if w.version != "" {
		return w.version, k.Serves(w.version)
	}
	barred := q.followed.barred(k.Service)
	for _, v := range k.Versions {
		if !slices.Contains(barred, v) {
			return v, true
		}
	}
	return "", false
}

func (q *queue) slots(k known) int {
	if k.report.slots > 0 {
		return k.report.slots
	}
	return q.limits.Slots
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
