package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/admitter"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	// queueEvery is how often waiting requests are looked at without any event.
	queueEvery = 50 * time.Millisecond
	// promptShare is the cost of a prompt's token against one of the answer.
	promptShare = 0.1
)

// grant is the leave to send a request to an endpoint once.
type grant struct {
	endpoint known
	version  dotterelpulley.VersionID
	// load is the part of the endpoint's slots that was taken.
	load float64
	// follow has the endpoint learned about from the output that the grant leads to.
	follow  func(*output)
	release func(attemptResult)
}

// queue joins the admitter, the picker and the limiter: it says which request goes where and when.
type queue struct {
	endpoints *endpoints
	followed  *followed
	settings  Settings
	counters  *counter.Set

	mu       sync.Mutex
	admitter admitter.Admitter
	picker   picker.Picker
	limiter  limiter.Limiter
	budget   limiter.RetryBudget
	waiters  map[admitter.ID]*waiter
	sequence int
	// known holds the endpoints that this host uses.
	known map[dotterelpulley.EndpointID]known
	kinds map[dotterelpulley.ServiceID]lister.HostKind
	place picker.HostPosition
	// sharers holds how many entry hosts use an endpoint of the service.
	sharers map[dotterelpulley.ServiceID]int
	// caches holds for each engine from where on its cache events are new.
	caches map[dotterelpulley.EndpointID]int64
}

// waiter is a request that waits for its grant or its refusal.
type waiter struct {
	id      admitter.ID
	request dotterelpulley.Request
	// chosen is the version that the request's place in the count gave it.
	chosen   dotterelpulley.VersionID
	avoid    map[dotterelpulley.EndpointID]bool
	prefixes []picker.PrefixHash
	granted  chan grant
	refused  chan *dotterelpulley.Refusal
}

// acquire waits until an endpoint may take the request; avoid names those that have not taken it.
func (q *queue) acquire(ctx context.Context, req dotterelpulley.Request, avoid map[dotterelpulley.EndpointID]bool) (grant, *dotterelpulley.Refusal) {
	w := &waiter{
		request:  req,
		avoid:    avoid,
		prefixes: picker.Prefixes(req.Prompt),
		granted:  make(chan grant, 1),
		refused:  make(chan *dotterelpulley.Refusal, 1),
	}
	if refusal := q.join(time.Now(), w); refusal != nil {
		return grant{}, refusal
	}
	select {
	case g := <-w.granted:
		return g, nil
	case refusal := <-w.refused:
		return grant{}, refusal
	case <-ctx.Done():
	}
	if q.remove(w) {
		return grant{}, waitEnded(ctx)
	}
	select {
	case refusal := <-w.refused:
		return grant{}, refusal
	case g := <-w.granted:
		g.release(attemptCancelled{})
	}
	return grant{}, waitEnded(ctx)
}

func waitEnded(ctx context.Context) *dotterelpulley.Refusal {
	if ctx.Err() == context.DeadlineExceeded {
		return dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorNotReady, 0, "the request was given up while it waited")
}

// join offers the request; the refusal is its own.
func (q *queue) join(now time.Time, w *waiter) *dotterelpulley.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	service := w.request.Service
	if len(w.avoid) == 0 {
		q.budget.Deposit(now, service)
	} else if !q.budget.Withdraw(now, service) {
		q.counters.Inc("retry-budget-spent")
		return dotterelpulley.Refuse(dotterelpulley.ErrorNoEndpoint, 0, fmt.Sprintf("service %q has no retry left", service))
	}
	q.sequence++
	w.id = admitter.ID(fmt.Sprint(q.sequence))
	q.waiters[w.id] = w
	q.refuse(q.admitter.Offer(now, admitter.Request{
		ID:           w.id,
		Organisation: w.request.Key.Organisation,
		Tier:         w.request.Tier,
		Service:      service,
		Cost:         q.cost(w.request),
		Deadline:     w.request.Deadline,
	}))
	q.run(now, service)
	return nil
}

func (q *queue) init() {
	if q.waiters != nil {
		return
	}
	q.waiters = map[admitter.ID]*waiter{}
	seed := xxhash.Sum64String(string(q.settings.Host))
	q.admitter.Seed = seed
	q.admitter.MaxWaiting = q.settings.Limits.Waiting
	q.picker.Seed = seed
	q.picker.Zone = q.settings.Zone
	q.admitter.Weight = func(id dotterelpulley.OrganisationID) int {
		return q.followed.organisation(id).Weight
	}
}

// cost returns the expected work of a request; a call of a plain service counts as one.
func (q *queue) cost(req dotterelpulley.Request) admitter.Cost {
	if q.kinds[req.Service] == lister.KindPlain {
		return 1
	}
	tokens := q.picker.Expect(routeOf(req), req.MaxTokens)
	return admitter.Cost(tokens + promptShare*picker.PromptTokens(len(req.Prompt)))
}

func routeOf(req dotterelpulley.Request) picker.RouteKey {
	return picker.RouteKey{Service: req.Service, Route: req.Route}
}

// refuse answers the requests that the admitter gave up.
func (q *queue) refuse(sheds []admitter.Shed) {
	for _, s := range sheds {
		w := q.waiters[s.ID]
		delete(q.waiters, s.ID)
		q.counters.Inc("shed-" + s.Tier.String() + "-" + s.Kind.String())
		w.refused <- dotterelpulley.Refuse(s.Kind, s.RetryAfter, fmt.Sprintf("service %q has no room for tier %s", s.Service, s.Tier))
	}
}

func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, w.id)
	return q.admitter.Remove(w.id)
}

// dispatch gives up what can't be in time and grants what can run, for all services.
func (q *queue) dispatch() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.refuse(q.admitter.Expire(now))
	for service := range q.kinds {
		q.admitter.SetCapacity(service, q.picker.Slots(now, service)/float64(max(q.sharers[service], 1)))
		q.run(now, service)
	}
}

// run grants the waiting requests of the service that endpoints have room for.
func (q *queue) run(now time.Time, service dotterelpulley.ServiceID) {
	for {
		var choice picker.Choice
		next, ok := q.admitter.Next(now, service, func(offered admitter.Request) bool {
			var verdict picker.Verdict
			choice, verdict = q.choose(now, q.waiters[offered.ID])
			return verdict == picker.Chosen
		})
		if !ok {
			return
		}
		q.grant(now, q.waiters[next.ID], choice)
	}
}

func (q *queue) choose(now time.Time, w *waiter) (picker.Choice, picker.Verdict) {
	ask := picker.Criteria{
		RouteKey:          routeOf(w.request),
		Version:           q.version(now, w),
		PromptBytes:       len(w.request.Prompt),
		MaxTokens:         w.request.MaxTokens,
		Prefixes:          w.prefixes,
		Reserve:           q.admitter.Reserve(now, w.request.Service, w.request.Tier),
		ExcludedEndpoints: w.avoid,
	}
	if ask.Version == "" {
		ask.ExcludedVersions = q.followed.barred(w.request.Service)
	}
	return q.picker.Choose(now, ask)
}

// version returns the waiter's version, or "" for any when no endpoint has the one in force.
func (q *queue) version(now time.Time, w *waiter) dotterelpulley.VersionID {
	service := w.request.Service
	w.chosen = q.followed.version(w.request, w.chosen, now)
	if q.picker.Serves(now, service, w.chosen) {
		return w.chosen
	}
	if version := q.followed.fallback(service, now); q.picker.Serves(now, service, version) {
		return version
	}
	return ""
}

func (q *queue) grant(now time.Time, w *waiter, choice picker.Choice) {
	delete(q.waiters, w.id)
	q.picker.Sent(now, choice)
	sent := &sending{queue: q, waiter: w, choice: choice, at: now}
	k := q.known[choice.Endpoint]
	w.granted <- grant{
		endpoint: k,
		version:  choice.Version,
		load:     choice.Inflight / float64(q.slots(k.report)),
		follow:   sent.follow,
		release:  sent.release,
	}
}
