package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// SharePolicy is how hosts divide what an endpoint takes from all of them.
type SharePolicy int

// The ways to divide what an endpoint takes.
const (
	// ShareAmongFew is the apportioner's way: few hosts share a low limit, and the places of a brittle endpoint are divided.
	ShareAmongFew SharePolicy = iota
	// ShareEqually gives each host the same share of a limit.
	ShareEqually
	// ShareByReports lets all hosts use the limit until their reports show that it is used up, as caps of organisations work.
	ShareByReports
	// ShareNothing ignores limits and brittleness.
	ShareNothing
)

// LimitChange is a time at which an endpoint names another limit.
type LimitChange struct {
	At       time.Duration
	Endpoint int
	// PerSecond is the limit; Lifted ends it.
	PerSecond float64
	Lifted    bool
}

// BrittlePeriod is a time in which all endpoints are brittle.
type BrittlePeriod struct {
	Start    time.Duration
	Duration time.Duration
	// Tolerance is the number of requests that an endpoint can turn away in a second without failing.
	Tolerance int
}

// FaultKind is a kind of fault of a host.
type FaultKind int

// The kinds of faults.
const (
	// Kill ends the host, which starts again without a memory when the fault ends.
	Kill FaultKind = iota
	// Freeze stops the host, which goes on where it was when the fault ends.
	Freeze
	// CutFromHosts loses all messages between the host and the others.
	CutFromHosts
	// CutFromEndpoints refuses all connections between the host and the endpoints.
	CutFromEndpoints
)

// HostFault is a fault of one host for a period.
type HostFault struct {
	Kind     FaultKind
	Host     int
	Start    time.Duration
	Duration time.Duration
}

// EndpointSilence stops an endpoint for a period; its connections stay open.
type EndpointSilence struct {
	Endpoint int
	Start    time.Duration
	Duration time.Duration
}

// LimitedFleet configures an experiment with hosts that share endpoints which name limits or are brittle.
type LimitedFleet struct {
	Seed  uint64
	Hosts int
	// Endpoints is the number of endpoints, each of which runs Slots requests at once and lets Queue more wait.
	Endpoints int
	Slots     int
	Queue     int
	// ProcessingTime is the time that a request takes.
	ProcessingTime    time.Duration
	RequestsPerSecond float64
	// Objective is how long requests wait for an endpoint, divided by the scheduler's wait factor.
	Objective time.Duration
	Duration  time.Duration
	Limits    []LimitChange
	Brittle   []BrittlePeriod
	Faults    []HostFault
	Silences  []EndpointSilence
	Share     SharePolicy
}

// LimitedResult is the result of an experiment.
type LimitedResult struct {
	Requests int
	Served   int
	Refused  int
	// WorstExcess is the largest ratio of the requests that an endpoint with a limit got in four seconds to what is allowed.
	WorstExcess float64
	// LimitUse is the smallest ratio of the requests that an endpoint with a constant limit got in all to its limit.
	LimitUse float64
	// Falls is the largest number of times that endpoints failed in one brittle period.
	Falls int
	// CutOff and Connected count the requests that came to hosts cut off from the endpoints, and to the others meanwhile, from the
	// time on at which the users' rules hold.
	CutOff    ServedRequests
	Connected ServedRequests
	// TurnedAway is the number of requests that endpoints turned away.
	TurnedAway int
}

// ServedRequests counts requests and those that were served.
type ServedRequests struct {
	Requests int
	Served   int
}

// Fraction returns the fraction of the requests that were served.
func (s ServedRequests) Fraction() float64 {
	return float64(s.Served) / float64(max(s.Requests, 1))
}

const (
	limitedService dotterelpulley.ServiceID = "limited"
	// stabilityWindow is the time after a change from which on the users' rules hold.
	stabilityWindow = 3 * time.Second
	// toldAfter is the time after which a host that has passed on an answer with a limit is taken to know it.
	toldAfter = 500 * time.Millisecond
	// limitWindow, limitFactor and limitSlack are the users' bound on the requests that an endpoint with a limit gets.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// endpointRestart is the time that an endpoint which has failed is away.
	endpointRestart = 3 * time.Second
	// networkDelay is the time that a message takes.
	networkDelay = time.Millisecond
	// limitedDecideInterval is the time between two decisions of a host while requests wait.
	limitedDecideInterval = 50 * time.Millisecond
	// limitedLinkInterval is the time between two probes of lost links.
	limitedLinkInterval = 200 * time.Millisecond
	// maxForwards is the number of hosts that a request is forwarded to.
	maxForwards = 3
)

// limitedRequest is one request of the experiment.
type limitedRequest struct {
	id   scheduler.ID
	host *limitedHost
	// start is the host's start that got the request.
	start int
	// counted is where the request counts beside the totals; nil if nowhere.
	counted *ServedRequests
	// from is the host that has the caller and forwarded the request, fromStart its start; nil if it is host itself.
	from      *limitedHost
	fromStart int
	// tried are the hosts that it was forwarded to.
	tried map[dotterelpulley.HostID]bool
}

// limitedArrival is a request that reached an endpoint.
type limitedArrival struct {
	at   time.Duration
	told bool
}

// limitedEndpoint is the state of an endpoint.
type limitedEndpoint struct {
	scheduler.Endpoint
	key apportioner.Key
	// limit is the limit that the endpoint names, changes its history.
	limit   LimitChange
	changes []LimitChange
	running int
	waiting []*limitedRequest
	// instance counts the endpoint's starts; down means that it has failed.
	instance int
	down     bool
	// silent is until when it is silent; held are the requests that reached it meanwhile.
	silent     time.Duration
	held       []*limitedRequest
	turnedAway []time.Duration
	arrivals   []limitedArrival
}

// limitedRun is the state of a running experiment.
type limitedRun struct {
	LimitedFleet
	clock     clock
	random    *rand.Rand
	hosts     []*limitedHost
	byAddress map[dotterelpulley.Address]*limitedHost
	endpoints []*limitedEndpoint
	byID      map[dotterelpulley.EndpointID]*limitedEndpoint
	lastID    scheduler.ID
	falls     []time.Duration
	result    LimitedResult
}

// Run simulates the experiment.
func (f LimitedFleet) Run() LimitedResult {
	r := &limitedRun{
		LimitedFleet: f, random: rand.New(rand.NewPCG(f.Seed, 3)),
		byAddress: map[dotterelpulley.Address]*limitedHost{}, byID: map[dotterelpulley.EndpointID]*limitedEndpoint{},
	}
	for i := range f.Endpoints {
		e := &limitedEndpoint{key: apportioner.Key(i + 1), limit: LimitChange{Lifted: true}}
		e.ID = dotterelpulley.EndpointID(fmt.Sprintf("endpoint-%03d", i))
		e.Service, e.Address, e.Slots, e.StartedAt = limitedService, dotterelpulley.Address(e.ID), f.Slots, epoch
		r.endpoints = append(r.endpoints, e)
		r.byID[e.ID] = e
	}
	for i := range f.Hosts {
		r.addHost(i)
	}
	for _, c := range f.Limits {
		r.clock.schedule(c.At, func() {
			e := r.endpoints[c.Endpoint]
			e.limit = c
			e.changes = append(e.changes, c)
		})
	}
	for _, fault := range f.Faults {
		r.clock.schedule(fault.Start, func() { r.begin(fault) })
	}
	for _, s := range f.Silences {
		e := r.endpoints[s.Endpoint]
		r.clock.schedule(s.Start, func() { e.silent = s.Start + s.Duration })
		r.clock.schedule(s.Start+s.Duration, func() { r.goOn(e) })
	}
	r.clock.schedule(0, r.arrive)
	r.clock.run(f.Duration)
	r.judge()
	return r.result
}

// arrive sends one request to a host that is up and schedules the next.
func (r *limitedRun) arrive() {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	if h.up && !h.frozen {
		r.result.Requests++
		r.lastID++
		q := &limitedRequest{id: r.lastID, host: h, start: h.starts}
		if q.counted = r.countedAt(h); q.counted != nil {
			q.counted.Requests++
		}
		h.take(q)
	}
	r.clock.schedule(time.Duration(r.random.ExpFloat64()/r.RequestsPerSecond*float64(time.Second)), r.arrive)
}

// countedAt returns where a request to the host counts: while hosts are cut off from the endpoints, once the users' rules hold.
func (r *limitedRun) countedAt(h *limitedHost) *ServedRequests {
	if h.unreachable {
		if r.clock.elapsed-h.unreachableSince >= stabilityWindow {
			return &r.result.CutOff
		}
		return nil
	}
	if !h.disturbed && slices.ContainsFunc(r.hosts, func(other *limitedHost) bool {
		return other.unreachable && r.clock.elapsed-other.unreachableSince >= stabilityWindow
	}) {
		return &r.result.Connected
	}
	return nil
}

// receive handles a request that reaches an endpoint.
func (r *limitedRun) receive(q *limitedRequest, e *limitedEndpoint) {
	if q.host.unreachable {
		q.unreached(e)
		return
	}
	told := q.host.toldAt[e.key]
	e.arrivals = append(e.arrivals, limitedArrival{at: r.clock.elapsed, told: told > 0 && r.clock.elapsed-told >= toldAfter && !q.host.disturbed})
	r.admit(q, e)
}

func (r *limitedRun) admit(q *limitedRequest, e *limitedEndpoint) {
	switch {
	case e.down:
		q.answer(e, scheduler.ResultDead)
	case r.clock.elapsed < e.silent:
		e.held = append(e.held, q)
	case e.running < e.Slots:
		r.run(q, e)
	case len(e.waiting) < r.Queue:
		e.waiting = append(e.waiting, q)
	default:
		r.turnAway(q, e)
	}
}

// goOn handles what reached the endpoint while it was silent.
func (r *limitedRun) goOn(e *limitedEndpoint) {
	held := e.held
	e.held = nil
	for _, q := range held {
		r.admit(q, e)
	}
}

func (r *limitedRun) run(q *limitedRequest, e *limitedEndpoint) {
	e.running++
	instance := e.instance
	var finish func()
	finish = func() {
		if e.instance != instance {
			q.answer(e, scheduler.ResultDead)
			return
		}
		if wait := e.silent - r.clock.elapsed; wait > 0 {
			r.clock.schedule(wait, finish)
			return
		}
		e.running--
		q.answer(e, scheduler.ResultCompleted)
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			r.run(next, e)
		}
	}
	r.clock.schedule(r.ProcessingTime, finish)
}

// turnAway refuses a request for want of room; a brittle endpoint that does so too often fails.
func (r *limitedRun) turnAway(q *limitedRequest, e *limitedEndpoint) {
	r.result.TurnedAway++
	now := r.clock.elapsed
	e.turnedAway = slices.DeleteFunc(append(e.turnedAway, now), func(at time.Duration) bool { return now-at > time.Second })
	q.answer(e, scheduler.ResultRefused)
	for _, b := range r.Brittle {
		if now < b.Start+stabilityWindow || now > b.Start+b.Duration || len(e.turnedAway) <= b.Tolerance {
			continue
		}
		r.falls = append(r.falls, now)
		e.down, e.running, e.waiting, e.turnedAway = true, 0, nil, nil
		e.instance++
		r.clock.schedule(endpointRestart, func() { r.restart(e) })
		return
	}
}

// restart starts an endpoint again, under another start that all hosts learn of.
func (r *limitedRun) restart(e *limitedEndpoint) {
	e.down, e.StartedAt = false, r.clock.now()
	for _, h := range r.hosts {
		h.setEndpoints()
	}
}

// brittle reports whether the endpoints say that they are brittle.
func (r *limitedRun) brittle() bool {
	return slices.ContainsFunc(r.Brittle, func(b BrittlePeriod) bool {
		return r.clock.elapsed >= b.Start && r.clock.elapsed <= b.Start+b.Duration
	})
}

// judge computes the result from the requests that reached the endpoints.
func (r *limitedRun) judge() {
	r.result.LimitUse = 1
	for _, e := range r.endpoints {
		if len(e.changes) == 0 {
			continue
		}
		r.result.WorstExcess = max(r.result.WorstExcess, e.worstExcess())
		if c := e.changes[0]; len(e.changes) == 1 {
			settled := c.At + stabilityWindow
			used := 0
			for _, a := range e.arrivals {
				if a.at >= settled {
					used++
				}
			}
			r.result.LimitUse = min(r.result.LimitUse, float64(used)/(c.PerSecond*(r.Duration-settled).Seconds()))
		}
	}
	for _, b := range r.Brittle {
		falls := 0
		for _, at := range r.falls {
			if at >= b.Start && at <= b.Start+b.Duration {
				falls++
			}
		}
		r.result.Falls = max(r.result.Falls, falls)
	}
}

// worstExcess returns the largest ratio of the requests that count to those allowed, over windows that end once the rule holds.
func (e *limitedEndpoint) worstExcess() float64 {
	var counted []time.Duration
	for _, a := range e.arrivals {
		if a.told {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, cmp.Compare[time.Duration])
	worst, first := 0.0, 0
	for i, at := range counted {
		for at-counted[first] >= limitWindow {
			first++
		}
		if at < e.changes[0].At+stabilityWindow {
			continue
		}
		if allowed, limited := e.allowed(at-limitWindow, at); limited {
			worst = max(worst, float64(i-first+1)/allowed)
		}
	}
	return worst
}

// allowed returns the number of requests allowed in the period; it is false if the endpoint had no limit in a part of it.
func (e *limitedEndpoint) allowed(from, to time.Duration) (float64, bool) {
	sum := 0.0
	for i, c := range e.changes {
		end := to
		if i+1 < len(e.changes) {
			end = min(to, e.changes[i+1].At)
		}
		// The first limit stands for the time before it as well.
		begin := max(from, c.At)
		if i == 0 {
			begin = from
		}
		if end <= begin {
			continue
		}
		if c.Lifted {
			return 0, false
		}
		sum += c.PerSecond * (end - begin).Seconds()
	}
	return limitFactor*sum + limitSlack, true
}
