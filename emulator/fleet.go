package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// RequestKind is one kind of request in the load of a fleet.
type RequestKind struct {
	Priority          scheduler.Priority
	RequestsPerSecond float64
	// PromptTokens and OutputTokens are means; PromptSpread and OutputSpread are the standard deviations of the logarithms.
	PromptTokens float64
	PromptSpread float64
	OutputTokens float64
	OutputSpread float64
	// Objective is the maximum time to the first event of an answer that is on time.
	Objective        time.Duration
	MaxEventInterval time.Duration
	Deadline         time.Duration
	// Worth is the worth of an answer that is on time, for a request of mean size.
	Worth float64
	// LateWorth is the worth of an answer that misses its objective or whose events are too far apart.
	LateWorth float64
	// Prefixes is the number of prefixes that prompts may begin with, which are equally likely, and PrefixShare the share of a
	// mean prompt that they make up; zero means that no requests share any.
	Prefixes    int
	PrefixShare float64
}

// Surge multiplies the request rate for a period.
type Surge struct {
	Start    time.Duration
	Duration time.Duration
	Factor   float64
	// Kinds are the indexes of the kinds whose rate rises; all if empty.
	Kinds []int
}

// Slowdown makes one engine slower for a period.
type Slowdown struct {
	Engine   int
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Fleet configures an experiment with hosts that share engines, each host with its own scheduler.
type Fleet struct {
	Seed      uint64
	Hosts     int
	Engines   []ChunkedEngine
	Kinds     []RequestKind
	Surges    []Surge
	Slowdowns []Slowdown
	Duration  time.Duration
	// Drain is the time after Duration for requests that haven't ended; none come any more.
	Drain time.Duration
	// ReportInterval is the interval between the reports of a host to the others.
	ReportInterval time.Duration
	// ChangeInterval is the shortest interval between two changes of a host's loads of which the others are told at once; none
	// are told if zero.
	ChangeInterval time.Duration
	// ReportTargets is the number of hosts, drawn at random, that each report goes to; all if zero.
	ReportTargets int
	Policy        scheduler.Policy
	// AllowedEventInterval is the maximum event interval of an answer that is on time, if longer than that of its kind.
	AllowedEventInterval time.Duration
	// SecondRefusalCost is the fraction of a request's worth that is deducted if its retry is refused too.
	SecondRefusalCost float64
	// OmitWaiting removes the waiting work from the reports of the hosts.
	OmitWaiting bool
	// OmitPaces removes the measured paces from the reports of the hosts.
	OmitPaces bool
	// OmitPrefixes keeps from the hosts which requests share a prefix.
	OmitPrefixes bool
	// ForwardImmediately makes each host send every request immediately to the endpoint with the fewest of its own requests.
	ForwardImmediately bool
}

// KindResult counts the requests of one kind by outcome.
type KindResult struct {
	Requests  int
	OnTime    int
	Late      int
	Refused   int
	Cancelled int
	// Largest counts the requests with the longest tenth of the answers.
	Largest SizeResult
	sizes   sizedOutcomes
	// LateByInterval counts the answers that were late only because of an event interval.
	LateByInterval int
	Worth          float64
	MaxWorth       float64
	// PromptTokens counts the prompt tokens of all requests that an engine admitted, ReadAgain those of prefixes that an
	// engine read although one had read them before.
	PromptTokens int
	ReadAgain    int
}

// SizeResult counts the requests of one size.
type SizeResult struct {
	Requests int
	Answered int
}

// AnsweredFraction returns the fraction of the requests of the kind that were answered.
func (r KindResult) AnsweredFraction() float64 {
	return float64(r.OnTime+r.Late) / float64(r.Requests)
}

// AnsweredFraction returns the fraction of the requests of the size that were answered.
func (r SizeResult) AnsweredFraction() float64 {
	return float64(r.Answered) / float64(r.Requests)
}

// FleetResult is the result of an experiment.
type FleetResult struct {
	Kinds []KindResult
}

// WorthFraction returns the achieved worth as a fraction of the maximum.
func (r FleetResult) WorthFraction() float64 {
	worth, maxWorth := 0.0, 0.0
	for _, k := range r.Kinds {
		worth += k.Worth
		maxWorth += k.MaxWorth
	}
	return worth / maxWorth
}

// fleetHost is one host and its scheduler.
type fleetHost struct {
	id        dotterelpulley.HostID
	scheduler scheduler.Scheduler
	requests  map[scheduler.ID]*fleetRequest
	// changing means that a change is about to be told.
	changing bool
	// changeToldAt is when the host last told a change, since the start of the run.
	changeToldAt time.Duration
}

// fleetRequest is the state of one request.
type fleetRequest struct {
	kind   int
	id     scheduler.ID
	host   *fleetHost
	prompt int
	output int
	worth  float64
	prefix scheduler.Prefix
	// largest reports whether the answer is among the longest tenth of its kind.
	largest bool
	// outcome is the index among the outcomes of its kind by size.
	outcome          int
	firstEventAt     time.Time
	lastEventAt      time.Time
	arrived          time.Time
	maxEventInterval time.Duration
	retried          bool
	ended            bool
	run              *chunkedRun
}

// fleetRun is the state of a running experiment.
type fleetRun struct {
	Fleet
	clock       clock
	random      *rand.Rand
	hosts       []*fleetHost
	engines     map[dotterelpulley.EndpointID]*chunkedEngine
	endpointIDs []dotterelpulley.EndpointID
	result      FleetResult
	lastID      scheduler.ID
	// prefixes holds the prefixes drawn so far, readPrefixes those that an engine has read.
	prefixes     map[scheduler.PrefixKey]scheduler.Prefix
	readPrefixes map[scheduler.PrefixKey]bool
}

const fleetService dotterelpulley.ServiceID = "engines"

// Run simulates the experiment.
func (f Fleet) Run() FleetResult {
	r := &fleetRun{Fleet: f, random: rand.New(rand.NewPCG(f.Seed, 1)), engines: map[dotterelpulley.EndpointID]*chunkedEngine{}, prefixes: map[scheduler.PrefixKey]scheduler.Prefix{}, readPrefixes: map[scheduler.PrefixKey]bool{}}
	r.result.Kinds = make([]KindResult, len(f.Kinds))
	var endpoints []scheduler.Endpoint
	for i, c := range f.Engines {
		c = c.withDefaults()
		id := dotterelpulley.EndpointID(fmt.Sprintf("engine-%03d", i))
		r.engines[id] = &chunkedEngine{ChunkedEngine: c, clock: &r.clock, id: id}
		r.endpointIDs = append(r.endpointIDs, id)
		endpoints = append(endpoints, scheduler.Endpoint{Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)}, Slots: c.Slots})
	}
	for i := range f.Hosts {
		h := &fleetHost{id: dotterelpulley.HostID(fmt.Sprintf("host-%03d", i)), requests: map[scheduler.ID]*fleetRequest{}}
		h.scheduler = scheduler.Scheduler{Seed: f.Seed + uint64(i), Policy: f.Policy}
		if f.ChangeInterval > 0 {
			h.scheduler.ReportDelay = f.ChangeInterval + changeTransit
		}
		h.scheduler.SetEndpoints(fleetService, endpoints)
		r.hosts = append(r.hosts, h)
		r.clock.schedule(time.Duration(r.random.Int64N(int64(f.ReportInterval))), func() { r.reportPeriodically(h) })
		r.clock.schedule(0, func() { r.decidePeriodically(h) })
	}
	for kind := range f.Kinds {
		r.clock.schedule(0, func() { r.arrive(kind) })
	}
	for _, s := range f.Slowdowns {
		e := r.engines[r.endpointIDs[s.Engine]]
		r.clock.schedule(s.Start, func() { e.Slowness *= s.Factor })
		r.clock.schedule(s.Start+s.Duration, func() { e.Slowness /= s.Factor })
	}
	r.clock.run(f.Duration + f.Drain)
	return r.result
}

func (r *fleetRun) rate(kind int) float64 {
	rate := r.Kinds[kind].RequestsPerSecond
	for _, s := range r.Surges {
		if at := r.clock.elapsed; at >= s.Start && at < s.Start+s.Duration && (len(s.Kinds) == 0 || slices.Contains(s.Kinds, kind)) {
			rate *= s.Factor
		}
	}
	return rate
}

func (r *fleetRun) drawSize(mean, spread float64) int {
	return max(int(mean*math.Exp(spread*r.random.NormFloat64()-spread*spread/2)), 1)
}

// arrive sends one request of the kind and schedules the next.
func (r *fleetRun) arrive(kind int) {
	if r.clock.elapsed > r.Duration {
		return
	}
	k := r.Kinds[kind]
	req := &fleetRequest{
		kind: kind, host: r.hosts[r.random.IntN(len(r.hosts))], arrived: r.clock.now(),
		prompt: r.drawSize(k.PromptTokens, k.PromptSpread), output: r.drawSize(k.OutputTokens, k.OutputSpread),
	}
	if k.Prefixes > 0 {
		req.prefix = r.drawPrefix(req.kind)
		req.prompt = max(int(float64(req.prompt)*(1-k.PrefixShare)), 1) + int(req.prefix.Tokens)
	}
	relativeSize := float64(req.prompt+answerTokenSize*req.output) / (k.PromptTokens + answerTokenSize*k.OutputTokens)
	req.worth = min(0.3+0.7*relativeSize, 4)
	req.largest = req.output > k.largestTenthOutput()
	if req.largest {
		r.result.Kinds[kind].Largest.Requests++
	}
	req.outcome = r.result.Kinds[kind].sizes.add(req.prompt + answerTokenSize*req.output)
	if k.Deadline > 0 {
		r.clock.schedule(k.Deadline, func() { r.cancel(req) })
	}
	r.result.Kinds[kind].Requests++
	r.result.Kinds[kind].MaxWorth += k.Worth * req.worth
	r.offer(req)
	r.clock.schedule(time.Duration(r.random.ExpFloat64()/r.rate(kind)*float64(time.Second)), func() { r.arrive(kind) })
}

// drawPrefix returns one of the prefixes of the kind's prompts.
func (r *fleetRun) drawPrefix(kind int) scheduler.Prefix {
	k := r.Kinds[kind]
	key := scheduler.PrefixKey(kind+1)<<32 | scheduler.PrefixKey(r.random.IntN(k.Prefixes))
	prefix, ok := r.prefixes[key]
	if !ok {
		prefix = scheduler.Prefix{Key: key, Tokens: dotterelpulley.Tokens(r.drawSize(k.PromptTokens*k.PrefixShare, k.PromptSpread))}
		r.prefixes[key] = prefix
	}
	return prefix
}

// largestTenthOutput returns the number of tokens above which an answer is among the longest tenth of the kind.
func (k RequestKind) largestTenthOutput() int {
	// The upper tenth of a normal distribution begins 1.28 standard deviations above the mean.
	return int(k.OutputTokens * math.Exp(1.28*k.OutputSpread-k.OutputSpread*k.OutputSpread/2))
}

// firstEventTimeout returns how long a caller waits for the first event.
func firstEventTimeout(k RequestKind) time.Duration {
	return max(2*time.Second, 4*k.Objective)
}

func (r *fleetRun) offer(req *fleetRequest) {
	r.lastID++
	id := r.lastID
	req.id = id
	k := r.Kinds[req.kind]
	// Callers cancel a request whose first event does not arrive in time.
	r.clock.schedule(firstEventTimeout(k), func() {
		if req.firstEventAt.IsZero() && req.id == id {
			r.cancel(req)
		}
	})
	if r.ForwardImmediately {
		r.forward(req)
		return
	}
	h := req.host
	h.requests[req.id] = req
	prefix := req.prefix
	if r.OmitPrefixes {
		prefix = scheduler.Prefix{}
	}
	h.scheduler.Offer(scheduler.Work{
		Urgency: scheduler.Urgency{Rank: k.Priority}, ID: req.id, Service: fleetService, Route: dotterelpulley.RouteID(strconv.Itoa(req.kind)), Arrived: r.clock.now(), Objective: k.Objective,
		MaxEventInterval: k.MaxEventInterval, Deadline: req.arrived.Add(k.Deadline), Prompt: dotterelpulley.Tokens(req.prompt), Answer: dotterelpulley.Tokens(req.output),
		Prefix: prefix,
	})
	r.decide(h)
}

// forward sends the request to the endpoint with the fewest requests of this host.
func (r *fleetRun) forward(req *fleetRequest) {
	fewest, chosen := math.MaxInt, r.endpointIDs[0]
	ownRequests := map[dotterelpulley.EndpointID]int{}
	for _, l := range req.host.scheduler.Loads() {
		for _, id := range r.endpointIDs {
			if scheduler.EndpointKey(id) == l.Key {
				ownRequests[id] = l.Running
			}
		}
	}
	for _, i := range r.random.Perm(len(r.endpointIDs)) {
		if id := r.endpointIDs[i]; ownRequests[id] < fewest {
			fewest, chosen = ownRequests[id], id
		}
	}
	req.host.requests[req.id] = req
	req.host.scheduler.RecordPlacement(r.clock.now(), scheduler.Work{ID: req.id, Service: fleetService}, chosen)
	r.place(req, chosen)
}

func (r *fleetRun) decide(h *fleetHost) {
	for _, d := range h.scheduler.Decide(r.clock.now()) {
		switch d := d.(type) {
		case scheduler.Placed:
			r.place(h.requests[d.ID], d.Endpoint.ID)
		case scheduler.Refused:
			r.handleRefusal(h.requests[d.ID], d.RetryAfter)
		}
	}
	r.scheduleChange(h)
}

func (r *fleetRun) handleRefusal(req *fleetRequest, retryAfter time.Duration) {
	delete(req.host.requests, req.id)
	if req.retried || req.ended {
		if !req.ended {
			r.result.Kinds[req.kind].Worth -= r.SecondRefusalCost * r.Kinds[req.kind].Worth * req.worth
		}
		r.end(req, &r.result.Kinds[req.kind].Refused)
		return
	}
	req.retried = true
	// Disables the first event timeout of the refused attempt.
	req.id = 0
	remaining := req.arrived.Add(r.Kinds[req.kind].Deadline).Sub(r.clock.now())
	req.host = r.hosts[r.random.IntN(len(r.hosts))]
	r.clock.schedule(min(retryAfter, remaining/3), func() { r.offer(req) })
}

func (r *fleetRun) place(req *fleetRequest, id dotterelpulley.EndpointID) {
	h, k := req.host, r.Kinds[req.kind]
	run := &chunkedRun{prompt: req.prompt, prefix: req.prefix, output: req.output}
	req.run = run
	run.onAdmitted = func(kept bool) {
		result := &r.result.Kinds[req.kind]
		result.PromptTokens += req.prompt
		if !kept && r.readPrefixes[req.prefix.Key] {
			result.ReadAgain += int(req.prefix.Tokens)
		}
		r.readPrefixes[req.prefix.Key] = req.prefix.Key != 0
	}
	run.onEvent = func() {
		now := r.clock.now()
		if req.firstEventAt.IsZero() {
			req.firstEventAt = now
			h.scheduler.ObserveFirstEvent(now, req.id)
		} else {
			interval := now.Sub(req.lastEventAt)
			req.maxEventInterval = max(req.maxEventInterval, interval)
			h.scheduler.ObserveInterval(now, req.id, interval)
		}
		req.lastEventAt = now
	}
	run.onCompleted = func() {
		delete(h.requests, req.id)
		h.scheduler.Ended(r.clock.now(), req.id, scheduler.ResultCompleted)
		result := &r.result.Kinds[req.kind]
		onTime := req.firstEventAt.Sub(req.arrived) <= k.Objective
		switch {
		case req.ended:
		case onTime && req.maxEventInterval <= max(k.MaxEventInterval, r.AllowedEventInterval):
			result.Worth += k.Worth * req.worth
			r.end(req, &result.OnTime)
		default:
			if onTime {
				result.LateByInterval++
			}
			result.Worth += k.LateWorth * req.worth
			r.end(req, &result.Late)
		}
		if !r.ForwardImmediately {
			r.decide(h)
		}
	}
	r.engines[id].add(run)
}

func (r *fleetRun) end(req *fleetRequest, count *int) {
	if req.ended {
		return
	}
	req.ended = true
	*count++
	result := &r.result.Kinds[req.kind]
	if count != &result.OnTime && count != &result.Late {
		return
	}
	result.sizes[req.outcome].answered = true
	if req.largest {
		result.Largest.Answered++
	}
}

// cancel ends a request whose caller has disconnected.
func (r *fleetRun) cancel(req *fleetRequest) {
	if req.ended {
		return
	}
	r.end(req, &r.result.Kinds[req.kind].Cancelled)
	if req.run != nil {
		req.run.cancelled = true
		delete(req.host.requests, req.id)
		req.host.scheduler.Ended(r.clock.now(), req.id, scheduler.ResultCancelled)
		return
	}
	req.host.scheduler.Withdraw(req.id, fleetService)
	delete(req.host.requests, req.id)
}

// reportPeriodically sends the report of a host to the other hosts at every report interval.
func (r *fleetRun) reportPeriodically(h *fleetHost) {
	report := h.scheduler.HostReport(r.clock.now())
	if r.OmitWaiting {
		report.Waiting = nil
	}
	if r.OmitPaces {
		report.Paces = nil
	}
	for _, i := range r.reportTargets() {
		if other := r.hosts[i]; other != h {
			other.scheduler.SetHostReport(r.clock.now(), h.id, report)
			if !r.ForwardImmediately {
				r.decide(other)
			}
		}
	}
	r.clock.schedule(r.ReportInterval, func() { r.reportPeriodically(h) })
}

// reportTargets draws the hosts that a report goes to.
func (r *fleetRun) reportTargets() []int {
	targets := r.random.Perm(len(r.hosts))
	if r.ReportTargets > 0 {
		targets = targets[:min(r.ReportTargets, len(targets))]
	}
	return targets
}

// decidePeriodically makes the scheduler of a host refuse requests that have waited too long.
func (r *fleetRun) decidePeriodically(h *fleetHost) {
	const interval = 20 * time.Millisecond
	if !r.ForwardImmediately {
		r.decide(h)
	}
	r.clock.schedule(interval, func() { r.decidePeriodically(h) })
}
