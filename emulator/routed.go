package emulator

import (
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/admitter"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	service = dotterelpulley.ServiceID("kaasik-lm")
	// promptTokenCost is the cost of a prompt token relative to an output token.
	promptTokenCost = 0.1
)

// routedHost is an entry host with the real admitter, limiter and picker.
type routedHost struct {
	simulation *simulation
	admitter   admitter.Admitter
	limiter    limiter.Limiter
	picker     picker.Picker
	waiting    map[admitter.ID]*request
	dispatched map[*request]dispatched
	hostCount  int
}

type dispatched struct {
	assignment
	choice picker.Choice
	sentAt time.Duration
}

func newRoutedHost(s *simulation, seed uint64, hosts int) *routedHost {
	h := &routedHost{simulation: s, waiting: map[admitter.ID]*request{}, dispatched: map[*request]dispatched{}, hostCount: hosts}
	h.admitter.Seed = seed
	h.picker.Seed = seed
	h.picker.SetHostCount(service, hosts)
	var endpoints []dotterelpulley.Endpoint
	for _, e := range s.engines {
		endpoints = append(endpoints, dotterelpulley.Endpoint{ID: e.id, Service: service, Versions: []dotterelpulley.VersionID{"v1"}})
		h.limiter.SetSlots(e.id, engineSlots)
	}
	h.picker.SetEndpoints(service, endpoints)
	h.tick()
	return h
}

func admissionID(r *request) admitter.ID {
	return admitter.ID(strconv.Itoa(r.id))
}

func (h *routedHost) routeKey(r *request) picker.RouteKey {
	return picker.RouteKey{Service: service, Route: r.route}
}

func (h *routedHost) estimateCost(r *request) admitter.Cost {
	return admitter.Cost(h.picker.Expect(h.routeKey(r), 0) + promptTokenCost*float64(r.prompt))
}

func (h *routedHost) submit(r *request) {
	h.waiting[admissionID(r)] = r
	h.recordSheds(h.admitter.Offer(h.simulation.clock.now(), admitter.Request{
		ID:           admissionID(r),
		Organisation: r.organisation,
		Tier:         r.tier,
		Service:      service,
		Cost:         h.estimateCost(r),
		Deadline:     epoch.Add(r.deadline),
	}))
	h.dispatch()
}

func (h *routedHost) recordSheds(sheds []admitter.Shed) {
	for _, s := range sheds {
		r := h.waiting[s.ID]
		delete(h.waiting, s.ID)
		h.simulation.recordRefused(r, s.Kind)
	}
}

func (h *routedHost) dispatch() {
	now := h.simulation.clock.now()
	h.recordSheds(h.admitter.Expire(now))
	for {
		var choice picker.Choice
		admitted, ok := h.admitter.Next(now, service, func(candidate admitter.Request) bool {
			r := h.waiting[candidate.ID]
			var verdict picker.Verdict
			choice, verdict = h.picker.Choose(now, picker.Criteria{
				RouteKey:    h.routeKey(r),
				PromptBytes: 4 * r.prompt,
				Prefixes:    r.prefixes,
				Reserve:     h.admitter.Reserve(now, service, candidate.Tier),
			})
			return verdict == picker.Chosen
		})
		if !ok {
			return
		}
		h.send(h.waiting[admitted.ID], choice)
	}
}

func (h *routedHost) send(r *request, choice picker.Choice) {
	delete(h.waiting, admissionID(r))
	h.picker.Sent(h.simulation.clock.now(), choice)
	e := h.simulation.findEngine(choice.Endpoint)
	j := &job{request: r}
	sentAt := h.simulation.clock.elapsed
	j.onFirstToken = func() {
		h.picker.FirstToken(choice, h.simulation.clock.elapsed-sentAt)
		h.simulation.recordFirstToken(r)
	}
	j.onCompleted = func() {
		h.finish(r, picker.RunCompleted)
		h.simulation.recordCompleted(r, j)
		h.dispatch()
	}
	h.dispatched[r] = dispatched{assignment: assignment{engine: e, job: j}, choice: choice, sentAt: sentAt}
	e.submit(j)
}

func (h *routedHost) finish(r *request, outcome picker.Outcome) {
	d := h.dispatched[r]
	delete(h.dispatched, r)
	now := h.simulation.clock.now()
	j := d.job
	result := picker.Result{Outcome: outcome, Started: j.tokens > 0, Tokens: dotterelpulley.Tokens(j.tokens)}
	if j.tokens > 1 {
		result.BetweenTokens = (j.lastTokenAt - j.firstTokenAt) / time.Duration(j.tokens-1)
	}
	h.picker.Ended(now, d.choice, result)
	admitterOutcome := admitter.OutcomeFailed
	if outcome == picker.RunCompleted {
		admitterOutcome = admitter.OutcomeCompleted
	}
	h.admitter.Finished(now, admissionID(r), admitter.Cost(float64(j.tokens)+promptTokenCost*float64(r.prompt)), admitterOutcome)
	if j.tokens == 0 {
		return
	}
	limit := h.limiter.Observe(now, d.choice.Endpoint, limiter.Sample{
		FirstToken:    j.firstTokenAt - d.sentAt,
		BetweenTokens: result.BetweenTokens,
		Inflight:      d.choice.Inflight + 1,
		Backlogged:    h.admitter.Waiting(service) > 0,
	})
	h.picker.SetLimit(d.choice.Endpoint, limit)
}

func (h *routedHost) expire(r *request) {
	d, ok := h.dispatched[r]
	if !ok {
		return
	}
	d.engine.cancel(d.job)
	h.finish(r, picker.RunCancelled)
	h.simulation.recordAborted(r, d.job)
	h.dispatch()
}

func (h *routedHost) tick() {
	now := h.simulation.clock.now()
	h.admitter.SetCapacity(service, h.picker.Slots(now, service)/float64(h.hostCount))
	h.dispatch()
}

func (h *routedHost) reportLoad(e *engine, r picker.Report) {
	h.picker.Report(h.simulation.clock.now(), e.id, r)
}

func (h *routedHost) reportCachedPrefix(e *engine, hash picker.PrefixHash) {
	h.picker.Cached(h.simulation.clock.now(), e.id, hash)
}

func (h *routedHost) setHostCount(n int) {
	h.hostCount = n
	h.picker.SetHostCount(service, n)
}

func (h *routedHost) crash() {
	for r, d := range h.dispatched {
		d.engine.cancel(d.job)
		h.simulation.recordLost(r, d.job)
	}
	for _, r := range h.waiting {
		h.simulation.recordLost(r, nil)
	}
	clear(h.dispatched)
}
