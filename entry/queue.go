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
	// queueInterval is the interval at which waiting requests are checked even without an event.
	queueInterval = 50 * time.Millisecond
	// promptTokenCost is the cost of a prompt token relative to that of an answer token.
	promptTokenCost = 0.1
)

// grant is the permission to send a request to an endpoint once.
type grant struct {
	endpoint endpointInfo
	version  dotterelpulley.VersionID
	// load is the fraction of the endpoint's slots in use when the request was granted.
	load float64
	// observe measures the endpoint by the output of the granted request.
	observe func(*output)
	release func(attemptResult)
}

// queue combines the admitter, the picker and the limiter to decide when and to which endpoint a request is sent.
type queue struct {
	endpoints *endpoints
	logState  *logState
	settings  Settings
	counters  *counter.Set

	mu       sync.Mutex
	admitter admitter.Admitter
	picker   picker.Picker
	limiter  limiter.Limiter
	budget   limiter.RetryBudget
	waiters  map[admitter.ID]*waiter
	sequence int
	// inUse holds the endpoints that this host uses.
	inUse        map[dotterelpulley.EndpointID]endpointInfo
	serviceKinds map[dotterelpulley.ServiceID]lister.HostKind
	position     picker.HostPosition
	// sharers holds the number of entry hosts that share each endpoint of a service.
	sharers map[dotterelpulley.ServiceID]int
	// cacheOffsets holds the offset of the next unread cache event of each engine.
	cacheOffsets map[dotterelpulley.EndpointID]int64
}

// waiter is a queued request that waits for a grant or a refusal.
type waiter struct {
	id      admitter.ID
	request dotterelpulley.Request
	// chosen is the version that the splitter assigned to the request.
	chosen   dotterelpulley.VersionID
	avoid    map[dotterelpulley.EndpointID]bool
	prefixes []picker.PrefixHash
	granted  chan grant
	refused  chan *dotterelpulley.Refusal
}

// acquire waits until an endpoint may receive the request; avoid holds the endpoints that did not accept it.
func (q *queue) acquire(ctx context.Context, req dotterelpulley.Request, avoid map[dotterelpulley.EndpointID]bool) (grant, *dotterelpulley.Refusal) {
	w := &waiter{
		request:  req,
		avoid:    avoid,
		prefixes: picker.Prefixes(req.Prompt),
		granted:  make(chan grant, 1),
		refused:  make(chan *dotterelpulley.Refusal, 1),
	}
	if refusal := q.enqueue(time.Now(), w); refusal != nil {
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

// enqueue offers the request to the admitter; it refuses a retry that exceeds the retry budget.
func (q *queue) enqueue(now time.Time, w *waiter) *dotterelpulley.Refusal {
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
	q.refuseShed(q.admitter.Offer(now, admitter.Request{
		ID:           w.id,
		Organisation: w.request.Key.Organisation,
		Tier:         w.request.Tier,
		Service:      service,
		Cost:         q.cost(w.request),
		Deadline:     w.request.Deadline,
	}))
	q.grantWaiting(now, service)
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
		return q.logState.organisation(id).Weight
	}
}

// cost returns the expected cost of a request; a call of a plain service costs 1.
func (q *queue) cost(req dotterelpulley.Request) admitter.Cost {
	if q.serviceKinds[req.Service] == lister.KindPlain {
		return 1
	}
	tokens := q.picker.Expect(routeOf(req), req.MaxTokens)
	return admitter.Cost(tokens + promptTokenCost*picker.PromptTokens(len(req.Prompt)))
}

func routeOf(req dotterelpulley.Request) picker.RouteKey {
	return picker.RouteKey{Service: req.Service, Route: req.Route}
}

// refuseShed refuses the requests that the admitter shed.
func (q *queue) refuseShed(shed []admitter.Shed) {
	for _, s := range shed {
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

// dispatch refuses requests that can't meet their deadline and grants those that can run, for all services.
func (q *queue) dispatch() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.refuseShed(q.admitter.Expire(now))
	for service := range q.serviceKinds {
		q.admitter.SetCapacity(service, q.picker.Slots(now, service)/float64(max(q.sharers[service], 1)))
		q.grantWaiting(now, service)
	}
}

// grantWaiting grants waiting requests of the service while its endpoints have capacity.
func (q *queue) grantWaiting(now time.Time, service dotterelpulley.ServiceID) {
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
	criteria := picker.Criteria{
		RouteKey:          routeOf(w.request),
		Version:           q.version(now, w),
		PromptBytes:       len(w.request.Prompt),
		MaxTokens:         w.request.MaxTokens,
		Prefixes:          w.prefixes,
		Reserve:           q.admitter.Reserve(now, w.request.Service, w.request.Tier),
		ExcludedEndpoints: w.avoid,
	}
	if criteria.Version == "" {
		criteria.ExcludedVersions = q.logState.badVersions(w.request.Service)
	}
	return q.picker.Choose(now, criteria)
}

// version returns the version for the waiter, or "" for any version when no endpoint serves the ones in force.
func (q *queue) version(now time.Time, w *waiter) dotterelpulley.VersionID {
	service := w.request.Service
	w.chosen = q.logState.version(w.request, w.chosen, now)
	if q.picker.Serves(now, service, w.chosen) {
		return w.chosen
	}
	if version := q.logState.fallback(service, now); q.picker.Serves(now, service, version) {
		return version
	}
	return ""
}

func (q *queue) grant(now time.Time, w *waiter, choice picker.Choice) {
	delete(q.waiters, w.id)
	q.picker.Sent(now, choice)
	active := &activeRequest{queue: q, waiter: w, choice: choice, sentAt: now}
	endpoint := q.inUse[choice.Endpoint]
	w.granted <- grant{
		endpoint: endpoint,
		version:  choice.Version,
		load:     choice.Inflight / float64(q.slots(endpoint.report)),
		observe:  active.observe,
		release:  active.release,
	}
}
