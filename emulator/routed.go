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
	// promptShare is the cost of a prompt token against one of the answer.
	promptShare = 0.1
)

// routed is an entry host with the real admitter, limiter and picker.
type routed struct {
	world    *world
	admitter admitter.Admitter
	limiter  limiter.Limiter
	picker   picker.Picker
	waiting  map[admitter.ID]*request
	jobs     map[*request]sent
	hosts    int
}

type sent struct {
	placed
	choice picker.Choice
	at     time.Duration
}

func newRouted(w *world, seed uint64, hosts int) *routed {
	r := &routed{world: w, waiting: map[admitter.ID]*request{}, jobs: map[*request]sent{}, hosts: hosts}
	r.admitter.Seed = seed
	r.picker.Seed = seed
	r.picker.SetHostCount(service, hosts)
	var endpoints []dotterelpulley.Endpoint
	for _, e := range w.engines {
		endpoints = append(endpoints, dotterelpulley.Endpoint{ID: e.id, Service: service, Versions: []dotterelpulley.VersionID{"v1"}})
		r.limiter.SetSlots(e.id, engineSlots)
	}
	r.picker.SetEndpoints(service, endpoints)
	r.tick()
	return r
}

func idOf(r *request) admitter.ID {
	return admitter.ID(strconv.Itoa(r.id))
}

func (h *routed) route(r *request) picker.RouteKey {
	return picker.RouteKey{Service: service, Route: r.route}
}

func (h *routed) cost(r *request) admitter.Cost {
	return admitter.Cost(h.picker.Expect(h.route(r), 0) + promptShare*float64(r.prompt))
}

func (h *routed) arrive(r *request) {
	h.waiting[idOf(r)] = r
	h.refuse(h.admitter.Offer(h.world.clock.now(), admitter.Request{
		ID:           idOf(r),
		Organisation: r.organisation,
		Tier:         r.tier,
		Service:      service,
		Cost:         h.cost(r),
		Deadline:     epoch.Add(r.deadline),
	}))
	h.dispatch()
}

func (h *routed) refuse(sheds []admitter.Shed) {
	for _, s := range sheds {
		r := h.waiting[s.ID]
		delete(h.waiting, s.ID)
		h.world.refused(r, s.Kind)
	}
}

func (h *routed) dispatch() {
	now := h.world.clock.now()
	h.refuse(h.admitter.Expire(now))
	for {
		var choice picker.Choice
		w, ok := h.admitter.Next(now, service, func(w admitter.Request) bool {
			r := h.waiting[w.ID]
			var verdict picker.Verdict
			choice, verdict = h.picker.Choose(now, picker.Criteria{
				RouteKey:    h.route(r),
				PromptBytes: 4 * r.prompt,
				Prefixes:    r.prefixes,
				Reserve:     h.admitter.Reserve(now, service, w.Tier),
			})
			return verdict == picker.Chosen
		})
		if !ok {
			return
		}
		h.send(h.waiting[w.ID], choice)
	}
}

func (h *routed) send(r *request, choice picker.Choice) {
	delete(h.waiting, idOf(r))
	h.picker.Sent(h.world.clock.now(), choice)
	e := h.world.engine(choice.Endpoint)
	j := &job{request: r}
	at := h.world.clock.elapsed
	j.started = func() {
		h.picker.FirstToken(choice, h.world.clock.elapsed-at)
		h.world.first(r)
	}
	j.finished = func() {
		h.ended(r, picker.RunCompleted)
		h.world.whole(r, j)
		h.dispatch()
	}
	h.jobs[r] = sent{placed: placed{engine: e, job: j}, choice: choice, at: at}
	e.submit(j)
}

func (h *routed) ended(r *request, outcome picker.Outcome) {
	s := h.jobs[r]
	delete(h.jobs, r)
	now := h.world.clock.now()
	j := s.job
	result := picker.Result{Outcome: outcome, Started: j.tokens > 0, Tokens: dotterelpulley.Tokens(j.tokens)}
	if j.tokens > 1 {
		result.BetweenTokens = (j.last - j.first) / time.Duration(j.tokens-1)
	}
	h.picker.Ended(now, s.choice, result)
	ending := admitter.OutcomeFailed
	if outcome == picker.RunCompleted {
		ending = admitter.OutcomeCompleted
	}
	h.admitter.Finished(now, idOf(r), admitter.Cost(float64(j.tokens)+promptShare*float64(r.prompt)), ending)
	if j.tokens == 0 {
		return
	}
	limit := h.limiter.Observe(now, s.choice.Endpoint, limiter.Sample{
		FirstToken:    j.first - s.at,
		BetweenTokens: result.BetweenTokens,
		Inflight:      s.choice.Inflight + 1,
		Backlogged:    h.admitter.Waiting(service) > 0,
	})
	h.picker.SetLimit(s.choice.Endpoint, limit)
}

func (h *routed) expire(r *request) {
	s, ok := h.jobs[r]
	if !ok {
		return
	}
	s.engine.cancel(s.job)
	h.ended(r, picker.RunCancelled)
	h.world.broken(r, s.job)
	h.dispatch()
}

func (h *routed) tick() {
	now := h.world.clock.now()
	h.admitter.SetCapacity(service, h.picker.Slots(now, service)/float64(h.hosts))
	h.dispatch()
}

func (h *routed) report(e *engine, r picker.Report) {
	h.picker.Report(h.world.clock.now(), e.id, r)
}

func (h *routed) cached(e *engine, hash picker.PrefixHash) {
	h.picker.Cached(h.world.clock.now(), e.id, hash)
}

func (h *routed) peers(n int) {
	h.hosts = n
	h.picker.SetHostCount(service, n)
}

func (h *routed) die() {
	for r, s := range h.jobs {
		s.engine.cancel(s.job)
		h.world.lost(r, s.job)
	}
	for _, r := range h.waiting {
		h.world.lost(r, nil)
	}
	clear(h.jobs)
}
