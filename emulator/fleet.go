package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// Kind is one kind of request of a fleet's load.
type Kind struct {
	Rank      scheduler.Priority
	PerSecond float64
	// Prompt and Output are mean tokens; PromptSpread is the spread of their logarithm, OutputSpread likewise.
	Prompt       float64
	PromptSpread float64
	Output       float64
	OutputSpread float64
	Objective    time.Duration
	Pause        time.Duration
	Deadline     time.Duration
	Worth        float64
	// Late is what an answer is worth that misses its objective.
	Late float64
}

// Surge multiplies the load for a time.
type Surge struct {
	At    time.Duration
	For   time.Duration
	Times float64
}

// Spell makes one engine slower for a time.
type Spell struct {
	Engine int
	At     time.Duration
	For    time.Duration
	Times  float64
}

// Fleet is an experiment: hosts that share engines, each with a scheduler of its own.
type Fleet struct {
	Seed    uint64
	Hosts   int
	Engines []ChunkedEngine
	Kinds   []Kind
	Surges  []Surge
	Spells  []Spell
	Span    time.Duration
	// Lag is the time between two of a host's words to the others.
	Lag    time.Duration
	Policy scheduler.Policy
	// Strict is the longest pause of an answer that is on time, where it isn't the kind's own.
	Strict time.Duration
	// Again is the part of its worth that a request costs whose caller came back and was refused again.
	Again float64
	// Reticent hosts don't tell each other what waits on them.
	Reticent bool
	// Forward makes every host send each request at once to the endpoint with the fewest of its own.
	Forward bool
}

// KindResult is what became of the requests of one kind.
type KindResult struct {
	Asked   int
	OnTime  int
	Late    int
	Refused int
	Left    int
	// Largest counts the requests with the longest tenth of the answers.
	Largest SizeResult
	// LatePause counts the answers that were late by a pause alone.
	LatePause int
	Worth     float64
	Owed      float64
}

// SizeResult is what became of the requests of one size.
type SizeResult struct {
	Asked    int
	Answered int
}

// Served is the part of the kind's requests that were answered.
func (r KindResult) Served() float64 {
	return float64(r.OnTime+r.Late) / float64(r.Asked)
}

// Served is the part of the requests of the size that were answered.
func (r SizeResult) Served() float64 {
	return float64(r.Answered) / float64(r.Asked)
}

// FleetResult is what became of a fleet's load.
type FleetResult struct {
	Kinds []KindResult
}

// Worth returns the part of the owed worth that was earned.
func (r FleetResult) Worth() float64 {
	worth, owed := 0.0, 0.0
	for _, k := range r.Kinds {
		worth += k.Worth
		owed += k.Owed
	}
	return worth / owed
}

// fleetHost is one host with its scheduler.
type fleetHost struct {
	id        dotterelpulley.HostID
	scheduler scheduler.Scheduler
	asked     map[scheduler.ID]*fleetRequest
}

// fleetRequest is one request on its way.
type fleetRequest struct {
	kind   int
	id     scheduler.ID
	host   *fleetHost
	prompt int
	output int
	worth  float64
	// largest tells that the request is among the largest tenth of its kind.
	largest  bool
	first    time.Time
	last     time.Time
	arrived  time.Time
	pause    time.Duration
	returned bool
	over     bool
	run      *chunkedRun
}

// fleetRun is an experiment under way.
type fleetRun struct {
	Fleet
	clock   clock
	random  *rand.Rand
	hosts   []*fleetHost
	engines map[dotterelpulley.EndpointID]*chunkedEngine
	order   []dotterelpulley.EndpointID
	result  FleetResult
	next    scheduler.ID
}

const fleetService dotterelpulley.ServiceID = "engines"

// Run plays the experiment.
func (f Fleet) Run() FleetResult {
	r := &fleetRun{Fleet: f, random: rand.New(rand.NewPCG(f.Seed, 1)), engines: map[dotterelpulley.EndpointID]*chunkedEngine{}}
	r.result.Kinds = make([]KindResult, len(f.Kinds))
	var endpoints []scheduler.Endpoint
	for i, c := range f.Engines {
		c = c.withDefaults()
		id := dotterelpulley.EndpointID(string(rune('a' + i)))
		r.engines[id] = &chunkedEngine{ChunkedEngine: c, clock: &r.clock, id: id}
		r.order = append(r.order, id)
		endpoints = append(endpoints, scheduler.Endpoint{Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)}, Slots: c.Slots})
	}
	for i := range f.Hosts {
		h := &fleetHost{id: dotterelpulley.HostID(string(rune('A' + i))), asked: map[scheduler.ID]*fleetRequest{}}
		h.scheduler = scheduler.Scheduler{Seed: f.Seed + uint64(i), Policy: f.Policy}
		h.scheduler.SetEndpoints(fleetService, endpoints)
		r.hosts = append(r.hosts, h)
		r.clock.after(time.Duration(r.random.Int64N(int64(f.Lag))), func() { r.tell(h) })
		r.clock.after(0, func() { r.poll(h) })
	}
	for kind := range f.Kinds {
		r.clock.after(0, func() { r.arrive(kind) })
	}
	for _, s := range f.Spells {
		e := r.engines[r.order[s.Engine]]
		r.clock.after(s.At, func() { e.Slowness *= s.Times })
		r.clock.after(s.At+s.For, func() { e.Slowness /= s.Times })
	}
	r.clock.run(f.Span)
	return r.result
}

func (r *fleetRun) rate(kind int) float64 {
	rate := r.Kinds[kind].PerSecond
	for _, s := range r.Surges {
		if at := r.clock.elapsed; at >= s.At && at < s.At+s.For {
			rate *= s.Times
		}
	}
	return rate
}

func (r *fleetRun) size(mean, spread float64) int {
	return max(int(mean*math.Exp(spread*r.random.NormFloat64()-spread*spread/2)), 1)
}

// arrive sends one request of the kind and plans the next.
func (r *fleetRun) arrive(kind int) {
	k := r.Kinds[kind]
	q := &fleetRequest{
		kind: kind, host: r.hosts[r.random.IntN(len(r.hosts))], arrived: r.clock.now(),
		prompt: r.size(k.Prompt, k.PromptSpread), output: r.size(k.Output, k.OutputSpread),
	}
	size := float64(q.prompt+10*q.output) / (k.Prompt + 10*k.Output)
	q.worth = min(0.3+0.7*size, 4)
	q.largest = q.output > k.largeOutput()
	if q.largest {
		r.result.Kinds[kind].Largest.Asked++
	}
	r.result.Kinds[kind].Asked++
	r.result.Kinds[kind].Owed += k.Worth * q.worth
	r.offer(q)
	r.clock.after(time.Duration(r.random.ExpFloat64()/r.rate(kind)*float64(time.Second)), func() { r.arrive(kind) })
}

// largeOutput is the number of tokens above which an answer is among the kind's largest tenth.
func (k Kind) largeOutput() int {
	// The upper tenth of a normal distribution begins at 1.28 deviations.
	return int(k.Output * math.Exp(1.28*k.OutputSpread-k.OutputSpread*k.OutputSpread/2))
}

// patience is how long a caller waits for a first event.
func patience(k Kind) time.Duration {
	return max(2*time.Second, 4*k.Objective)
}

func (r *fleetRun) offer(q *fleetRequest) {
	r.next++
	id := r.next
	q.id = id
	k := r.Kinds[q.kind]
	// Callers give up on a stream that says nothing.
	r.clock.after(patience(k), func() {
		if q.first.IsZero() && q.id == id {
			r.leave(q)
		}
	})
	if r.Forward {
		r.forward(q)
		return
	}
	h := q.host
	h.asked[q.id] = q
	h.scheduler.Offer(scheduler.Work{
		Urgency: scheduler.Urgency{Rank: k.Rank}, ID: q.id, Service: fleetService, Arrived: r.clock.now(), Objective: k.Objective,
		MaxEventInterval: k.Pause, Deadline: q.arrived.Add(k.Deadline), Prompt: dotterelpulley.Tokens(q.prompt), Answer: dotterelpulley.Tokens(q.output),
	})
	r.decide(h)
}

// forward sends the request where this host has the fewest.
func (r *fleetRun) forward(q *fleetRequest) {
	least, at := math.MaxInt, r.order[0]
	own := map[dotterelpulley.EndpointID]int{}
	for _, l := range q.host.scheduler.Loads() {
		for _, id := range r.order {
			if scheduler.EndpointKey(id) == l.Key {
				own[id] = l.Running
			}
		}
	}
	for _, i := range r.random.Perm(len(r.order)) {
		if id := r.order[i]; own[id] < least {
			least, at = own[id], id
		}
	}
	q.host.asked[q.id] = q
	q.host.scheduler.RecordPlacement(r.clock.now(), scheduler.Work{ID: q.id, Service: fleetService}, at)
	r.place(q, at)
}

func (r *fleetRun) decide(h *fleetHost) {
	for _, d := range h.scheduler.Decide(r.clock.now()) {
		switch d := d.(type) {
		case scheduler.Placed:
			r.place(h.asked[d.ID], d.Endpoint.ID)
		case scheduler.Refused:
			r.refused(h.asked[d.ID], d.RetryAfter)
		}
	}
}

func (r *fleetRun) refused(q *fleetRequest, after time.Duration) {
	delete(q.host.asked, q.id)
	if q.returned || q.over {
		if !q.over {
			r.result.Kinds[q.kind].Worth -= r.Again * r.Kinds[q.kind].Worth * q.worth
		}
		r.end(q, &r.result.Kinds[q.kind].Refused)
		return
	}
	q.returned = true
	q.id = 0
	left := q.arrived.Add(r.Kinds[q.kind].Deadline).Sub(r.clock.now())
	q.host = r.hosts[r.random.IntN(len(r.hosts))]
	r.clock.after(min(after, left/3), func() { r.offer(q) })
}

func (r *fleetRun) place(q *fleetRequest, id dotterelpulley.EndpointID) {
	h, k := q.host, r.Kinds[q.kind]
	run := &chunkedRun{unread: q.prompt, output: q.output}
	q.run = run
	run.event = func() {
		now := r.clock.now()
		if q.first.IsZero() {
			q.first = now
			h.scheduler.ObserveFirstEvent(now, q.id)
		} else {
			gap := now.Sub(q.last)
			q.pause = max(q.pause, gap)
			h.scheduler.ObserveInterval(now, q.id, gap)
		}
		q.last = now
	}
	run.done = func() {
		delete(h.asked, q.id)
		h.scheduler.Ended(r.clock.now(), q.id, scheduler.ResultCompleted)
		kind := &r.result.Kinds[q.kind]
		onTime := q.first.Sub(q.arrived) <= k.Objective
		switch {
		case q.over:
		case onTime && q.pause <= max(k.Pause, r.Strict):
			kind.Worth += k.Worth * q.worth
			r.end(q, &kind.OnTime)
		default:
			if onTime {
				kind.LatePause++
			}
			kind.Worth += k.Late * q.worth
			r.end(q, &kind.Late)
		}
		if !r.Forward {
			r.decide(h)
		}
	}
	r.engines[id].add(run)
}

func (r *fleetRun) end(q *fleetRequest, count *int) {
	if q.over {
		return
	}
	q.over = true
	*count++
	if kind := &r.result.Kinds[q.kind]; q.largest && (count == &kind.OnTime || count == &kind.Late) {
		kind.Largest.Answered++
	}
}

// leave ends a request whose caller has gone.
func (r *fleetRun) leave(q *fleetRequest) {
	if q.over {
		return
	}
	r.end(q, &r.result.Kinds[q.kind].Left)
	if q.run != nil {
		q.run.gone = true
		delete(q.host.asked, q.id)
		q.host.scheduler.Ended(r.clock.now(), q.id, scheduler.ResultCancelled)
		return
	}
	q.host.scheduler.Withdraw(q.id, fleetService)
	delete(q.host.asked, q.id)
}

// tell passes a host's loads on to the others.
func (r *fleetRun) tell(h *fleetHost) {
	word := h.scheduler.HostReport(r.clock.now())
	if r.Reticent {
		word.Waiting = nil
	}
	for _, other := range r.hosts {
		if other != h {
			other.scheduler.SetHostReport(r.clock.now(), h.id, word)
			if !r.Forward {
				r.decide(other)
			}
		}
	}
	r.clock.after(r.Lag, func() { r.tell(h) })
}

// poll lets a host refuse what has waited too long.
func (r *fleetRun) poll(h *fleetHost) {
	const every = 20 * time.Millisecond
	if !r.Forward {
		r.decide(h)
	}
	r.clock.after(every, func() { r.poll(h) })
}
