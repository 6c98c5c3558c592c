package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// forgetLoads is the age from which another host's word on its runs no longer counts.
	forgetLoads = 2 * time.Second
)

// Scheduler is the decision core of one host; the zero value works.
type Scheduler struct {
	Policy
	// Seed starts the random part of the times after which refused callers come back.
	Seed uint64
	// Zone is the host's own availability zone.
	Zone dotterelpulley.ZoneID

	random   *rand.Rand
	services map[dotterelpulley.ServiceID]*service
	runs     map[ID]*run
	hosts    map[dotterelpulley.HostID]told
	// byKey are all endpoints, loads and waiting the sums of what the other hosts tell.
	byKey   map[uint32]*endpoint
	loads   map[uint32]Load
	waiting map[waitingKey]int
}

// service holds the endpoints and the queue of one service.
type service struct {
	// key is the service's short name.
	key       uint32
	endpoints map[dotterelpulley.EndpointID]*endpoint
	// order is the endpoints by id, so that decisions repeat with their seed.
	order []*endpoint
	// pace and reading are taken for endpoints of which nothing is known.
	pace    time.Duration
	reading time.Duration
	queue   []Work
	// started counts the work placed lately, for the time after which to come back.
	started   float64
	startedAt time.Time
}

// run is work that an endpoint has.
type run struct {
	Work
	endpoint *endpoint
	// began tells that the prompt no longer counts, shown that a first event came.
	began  bool
	shown  bool
	placed time.Time
	// ahead is the number of tokens to be read up to the run's first event, its own included.
	ahead dotterelpulley.Tokens
}

// told is another host's last word.
type told struct {
	HostReport
	at time.Time
}

func (s *Scheduler) init() {
	if s.services == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.services = map[dotterelpulley.ServiceID]*service{}
		s.runs = map[ID]*run{}
		s.hosts = map[dotterelpulley.HostID]told{}
		s.byKey = map[uint32]*endpoint{}
		s.loads = map[uint32]Load{}
		s.waiting = map[waitingKey]int{}
	}
}

func (s *Scheduler) service(id dotterelpulley.ServiceID) *service {
	s.init()
	v, ok := s.services[id]
	if !ok {
		v = &service{key: shortName(string(id)), endpoints: map[dotterelpulley.EndpointID]*endpoint{}}
		s.services[id] = v
	}
	return v
}

// SetEndpoints replaces the endpoints of the service; what is known of those that stay is kept.
func (s *Scheduler) SetEndpoints(id dotterelpulley.ServiceID, endpoints []Endpoint) {
	v := s.service(id)
	old := v.endpoints
	for _, e := range old {
		// It may be another service's by now.
		if s.byKey[e.key] == e {
			delete(s.byKey, e.key)
		}
	}
	v.endpoints = make(map[dotterelpulley.EndpointID]*endpoint, len(endpoints))
	v.order = v.order[:0]
	for _, one := range endpoints {
		e, ok := old[one.ID]
		if !ok || e.Address != one.Address {
			e = &endpoint{key: EndpointKey(one.ID)}
		}
		e.Endpoint = one
		e.others = s.loads[e.key]
		v.endpoints[one.ID] = e
		s.byKey[e.key] = e
		v.order = append(v.order, e)
	}
	slices.SortFunc(v.order, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Services returns the services that have endpoints or work.
func (s *Scheduler) Services() []dotterelpulley.ServiceID {
	ids := make([]dotterelpulley.ServiceID, 0, len(s.services))
	for id := range s.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SetHostReport takes another host's word.
func (s *Scheduler) SetHostReport(now time.Time, host dotterelpulley.HostID, w HostReport) {
	s.init()
	s.tally(s.hosts[host].HostReport, -1)
	s.hosts[host] = told{HostReport: w, at: now}
	s.tally(w, 1)
	for id, h := range s.hosts {
		if now.Sub(h.at) > forgetLoads {
			s.tally(h.HostReport, -1)
			delete(s.hosts, id)
		}
	}
	for _, key := range w.DeadEndpoints {
		if e, ok := s.byKey[key]; ok && now.Sub(e.heard) > deadTold {
			e.bar(now.Add(deadTold))
		}
	}
}

// tally adds what a host told to the sums, or takes it out where the sign is negative.
func (s *Scheduler) tally(word HostReport, sign int) {
	for _, l := range word.Loads {
		sum := s.loads[l.Key]
		sum.Running += sign * l.Running
		sum.Prompt += dotterelpulley.Tokens(sign) * l.Prompt
		s.loads[l.Key] = sum
		if sum == (Load{}) {
			delete(s.loads, l.Key)
		}
		if e, ok := s.byKey[l.Key]; ok {
			e.others = sum
		}
	}
	for _, w := range word.Waiting {
		key := waitingKey{w.Urgency, w.Service}
		s.waiting[key] += sign * w.Count
		if s.waiting[key] == 0 {
			delete(s.waiting, key)
		}
	}
}

// HostReport returns this host's word for the others.
func (s *Scheduler) HostReport(now time.Time) HostReport {
	return HostReport{Loads: s.Loads(), Waiting: s.queued(now), DeadEndpoints: s.dead(now)}
}

// dead returns the endpoints that refused this host's connections and are barred for it.
func (s *Scheduler) dead(now time.Time) []uint32 {
	var keys []uint32
	for _, id := range s.Services() {
		for _, e := range s.services[id].order {
			if now.Before(e.dead) {
				keys = append(keys, e.key)
			}
		}
	}
	return keys
}

// Loads returns this host's own runs on each endpoint, for the other hosts.
func (s *Scheduler) Loads() []Load {
	var loads []Load
	for _, id := range s.Services() {
		for _, e := range s.services[id].order {
			if e.running > 0 {
				loads = append(loads, Load{Key: e.key, Running: e.running, Prompt: e.prompt})
			}
		}
	}
	return loads
}

// Offer queues the work; Decide has to follow.
func (s *Scheduler) Offer(w Work) {
	v := s.service(w.Service)
	at, _ := slices.BinarySearchFunc(v.queue, w, before)
	v.queue = slices.Insert(v.queue, at, w)
}

// before orders waiting work: by urgency, then by arrival.
func before(a, b Work) int {
	return cmp.Or(a.Compare(b.Urgency), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// Decide places what has room and refuses what has waited too long.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.init()
	var decisions []Decision
	for _, id := range s.Services() {
		decisions = s.decide(now, s.services[id], decisions)
	}
	return decisions
}

// decide places the work that can be on time first, what is late already only where room is left over.
func (s *Scheduler) decide(now time.Time, v *service, decisions []Decision) []Decision {
	if len(v.queue) == 0 {
		return decisions
	}
	v.prepare(now, len(s.hosts))
	for _, turn := range []turn{turnOnTime, turnLate} {
		kept := v.queue[:0]
		for _, w := range v.queue {
			var e *endpoint
			if !s.yields(v, w, turn) {
				e = s.choose(now, v, w, turn)
			}
			if e == nil {
				kept = append(kept, w)
				continue
			}
			decisions = append(decisions, Placed{ID: w.ID, Endpoint: e.Endpoint, Load: e.load(), LoadAge: s.loadAge(now)})
			s.start(now, v, w, e)
			e.has = e.backlog(now, len(s.hosts))
		}
		clear(v.queue[len(kept):])
		v.queue = kept
	}
	return s.expire(now, v, decisions)
}

// expire refuses what has waited too long.
func (s *Scheduler) expire(now time.Time, v *service, decisions []Decision) []Decision {
	kept := v.queue[:0]
	for _, w := range v.queue {
		if now.Before(s.latest(w)) {
			kept = append(kept, w)
			continue
		}
		decisions = append(decisions, s.refuse(now, v, w))
	}
	clear(v.queue[len(kept):])
	v.queue = kept
	return decisions
}

func (s *Scheduler) start(now time.Time, v *service, w Work, e *endpoint) {
	e.running++
	e.prompt += w.Prompt
	e.placed(now, w.Prompt)
	if e.begun == 0 {
		e.heard = now
	}
	s.runs[w.ID] = &run{Work: w, endpoint: e, placed: now, ahead: e.prompt + e.others.Prompt}
	v.count(now)
	v.started++
}

func (s *Scheduler) loadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, h := range s.hosts {
		oldest = max(oldest, now.Sub(h.at))
	}
	return oldest
}

// NextExpiry returns when Decide has something to refuse.
func (s *Scheduler) NextExpiry() (time.Time, bool) {
	var next time.Time
	found := false
	for _, v := range s.services {
		for _, w := range v.queue {
			if at := s.latest(w); !found || at.Before(next) {
				next, found = at, true
			}
		}
	}
	return next, found
}

// Withdraw takes work whose caller has gone out of its queue.
func (s *Scheduler) Withdraw(id ID, service dotterelpulley.ServiceID) {
	v := s.service(service)
	v.queue = slices.DeleteFunc(v.queue, func(w Work) bool { return w.ID == id })
}

// ObserveFirstEvent takes the first event of a run, whose prompt has been read then.
func (s *Scheduler) ObserveFirstEvent(now time.Time, id ID) {
	if r, ok := s.runs[id]; ok && !r.began {
		r.endpoint.read(now.Sub(r.placed), r.ahead)
		r.endpoint.heard = now
		r.begin()
		r.endpoint.begun++
		r.shown = true
	}
}

// begin takes the run's prompt from what the endpoint has to read.
func (r *run) begin() {
	if !r.began {
		r.began = true
		r.endpoint.prompt -= r.Prompt
	}
}

// ObserveInterval takes the time between two events of a run, or the time of a plain answer.
func (s *Scheduler) ObserveInterval(now time.Time, id ID, gap time.Duration) {
	if r, ok := s.runs[id]; ok {
		r.endpoint.paced(gap)
		r.endpoint.heard = now
	}
}

// Ended frees the place of a run.
func (s *Scheduler) Ended(now time.Time, id ID, result Result) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	r.begin()
	delete(s.runs, id)
	r.endpoint.running--
	if r.shown {
		r.endpoint.begun--
	}
	if result == ResultCancelled && !r.shown && r.Prompt > 0 && now.Sub(r.placed) > silence && r.endpoint.heard.Before(r.placed) {
		// Nothing came of any run since: the endpoint may be cut off.
		result = ResultUnreachable
	}
	r.endpoint.ended(now, result)
}

// Waiting returns how many requests of the service wait.
func (s *Scheduler) Waiting(id dotterelpulley.ServiceID) int {
	return len(s.service(id).queue)
}

// Usable reports whether the service has an endpoint that may get work.
func (s *Scheduler) Usable(now time.Time, id dotterelpulley.ServiceID) bool {
	return slices.ContainsFunc(s.service(id).order, func(e *endpoint) bool { return e.usable(now) })
}

// RecordPlacement takes work that was sent to the endpoint without a decision of the scheduler, so that it counts as load.
func (s *Scheduler) RecordPlacement(now time.Time, w Work, id dotterelpulley.EndpointID) {
	v := s.service(w.Service)
	if e, ok := v.endpoints[id]; ok {
		s.start(now, v, w, e)
	}
}
