package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Scheduler places, queues or refuses the work of one host; the zero value is ready to use.
type Scheduler struct {
	Policy
	// Seed seeds the random spread of scores and retry delays.
	Seed uint64
	// Zone is the host's own availability zone.
	Zone dotterelpulley.ZoneID
	// ReportDelay is the time until all other hosts know of a placement, if they are told of changes; zero if they aren't, or
	// only some of them.
	ReportDelay time.Duration

	random      *rand.Rand
	services    map[dotterelpulley.ServiceID]*service
	runs        map[ID]*run
	hostReports map[dotterelpulley.HostID]receivedReport
	// endpointsByKey holds all endpoints; peerLoads and peerWaiting are the sums of the other hosts' reports.
	endpointsByKey map[uint32]*endpoint
	peerLoads      map[uint32]Load
	peerWaiting    map[waitingKey]int
	changed        changedEndpoints
	pauses         pauses
	// paceTurn is the number of paces reported so far.
	paceTurn int
	// samples are those that haven't been taken.
	samples []Sample
}

// service holds the endpoints and the queue of one service.
type service struct {
	// key identifies the service in host reports.
	key       uint32
	endpoints map[dotterelpulley.EndpointID]*endpoint
	// sorted holds the endpoints by id, so that decisions are reproducible for a seed.
	sorted []*endpoint
	// eventInterval and prefillPerToken are assumed for endpoints without a measurement.
	eventInterval   time.Duration
	prefillPerToken time.Duration
	// answerTokens and answerEvents are decayed sums of the expected tokens and the events of whole answers.
	answerTokens float64
	answerEvents float64
	queue        []Work
	// freeShare is the estimated share of free slots on the available endpoints.
	freeShare float64
	// meanSize is the average size of recent work.
	meanSize  float64
	kinds     kinds
	placed    placedPrefixes
	homeRates homeRates
	split     splitState
}

func (s *Scheduler) init() {
	if s.services == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
		s.services = map[dotterelpulley.ServiceID]*service{}
		s.runs = map[ID]*run{}
		s.hostReports = map[dotterelpulley.HostID]receivedReport{}
		s.endpointsByKey = map[uint32]*endpoint{}
		s.peerLoads = map[uint32]Load{}
		s.peerWaiting = map[waitingKey]int{}
	}
}

func (s *Scheduler) service(id dotterelpulley.ServiceID) *service {
	s.init()
	v, ok := s.services[id]
	if !ok {
		v = &service{key: hashKey(string(id)), endpoints: map[dotterelpulley.EndpointID]*endpoint{}, homeRates: newHomeRates()}
		s.services[id] = v
	}
	return v
}

// SetEndpoints replaces the endpoints of the service and keeps the state of those that remain.
func (s *Scheduler) SetEndpoints(id dotterelpulley.ServiceID, endpoints []Endpoint) {
	v := s.service(id)
	previous := v.endpoints
	for _, e := range previous {
		// Another service may have taken over the key.
		if s.endpointsByKey[e.key] == e {
			delete(s.endpointsByKey, e.key)
		}
	}
	v.endpoints = make(map[dotterelpulley.EndpointID]*endpoint, len(endpoints))
	v.sorted = v.sorted[:0]
	for _, described := range endpoints {
		e, ok := previous[described.ID]
		if !ok || !e.isSameInstance(described) {
			fresh := &endpoint{key: EndpointKey(described.ID), pausedUntil: s.pauses.until(described)}
			if ok && e.Address == described.Address {
				// A restart at the same address most likely runs on the same hardware.
				fresh.eventInterval, fresh.intervalSamples, fresh.prefillPerToken, fresh.peerPace = e.eventInterval, e.intervalSamples, e.prefillPerToken, e.peerPace
				fresh.runTime = e.runTime
			}
			e = fresh
		}
		e.Endpoint = described
		e.peerLoad = s.peerLoads[e.key]
		v.endpoints[described.ID] = e
		s.endpointsByKey[e.key] = e
		v.sorted = append(v.sorted, e)
	}
	slices.SortFunc(v.sorted, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Services returns the services that have been given endpoints or work, by id.
func (s *Scheduler) Services() []dotterelpulley.ServiceID {
	ids := make([]dotterelpulley.ServiceID, 0, len(s.services))
	for id := range s.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Offer queues the work; Decide must be called afterwards.
func (s *Scheduler) Offer(w Work) {
	v := s.service(w.Service)
	if s.uses(PrefixHomes) {
		w.homes = v.homesOf(w.Prefix.Key)
	} else {
		w.Prefix = Prefix{}
	}
	w.obstacles, w.kind = &Obstacles{}, v.kinds.of(w.Route)
	w.sizeRank = w.kind.offered(w)
	w.turn = w.kind.turn(w)
	v.meanSize += sizeWeight * (float64(w.Size) - v.meanSize)
	index, _ := slices.BinarySearchFunc(v.queue, w, compareWork)
	v.queue = slices.Insert(v.queue, index, w)
}

// compareWork orders queued work by urgency, then by its turn.
func compareWork(a, b Work) int {
	return cmp.Or(a.Compare(b.Urgency), a.turn.Compare(b.turn), cmp.Compare(a.ID, b.ID))
}

// Decide places queued work on endpoints with room and refuses work that has waited too long.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.init()
	var decisions []Decision
	for _, id := range s.Services() {
		decisions = s.decideService(now, s.services[id], decisions)
	}
	return decisions
}

// decideService places the work that can be on time first, and late work only where capacity is left over.
func (s *Scheduler) decideService(now time.Time, v *service, decisions []Decision) []Decision {
	if len(v.queue) == 0 {
		return decisions
	}
	v.prepare(now, s.unseenPeers(now))
	passes := []pass{passOnTime, passLate}
	if !s.uses(LateWork) {
		passes = passes[:1]
	}
	for _, p := range passes {
		kept := v.queue[:0]
		for _, w := range v.queue {
			var e *endpoint
			if s.yieldsToPeers(v, w, p) {
				w.recordObstacle(now, p, ObstacleOrder)
			} else {
				e = s.choose(now, v, w, p)
			}
			if e == nil {
				kept = append(kept, w)
				continue
			}
			w.kind.decided(w, false)
			decisions = append(decisions, Placed{ID: w.ID, Endpoint: e.Endpoint, Load: e.load(), LoadAge: s.loadAge(now)})
			s.start(now, v, w, e)
			e.expected = e.estimateBacklog(now, s.unseenPeers(now))
			e.available = e.available && e.accepts(now)
		}
		clear(v.queue[len(kept):])
		v.queue = kept
	}
	return s.expire(now, v, decisions)
}

// expire refuses the work that has waited too long.
func (s *Scheduler) expire(now time.Time, v *service, decisions []Decision) []Decision {
	kept := v.queue[:0]
	for _, w := range v.queue {
		if now.Before(s.latestStart(w)) {
			kept = append(kept, w)
			continue
		}
		w.kind.decided(w, true)
		decisions = append(decisions, s.refuse(now, v, w))
	}
	clear(v.queue[len(kept):])
	v.queue = kept
	return decisions
}

// NextExpiry returns when Decide next has work to refuse.
func (s *Scheduler) NextExpiry() (time.Time, bool) {
	var next time.Time
	found := false
	for _, v := range s.services {
		for _, w := range v.queue {
			if at := s.latestStart(w); !found || at.Before(next) {
				next, found = at, true
			}
		}
	}
	return next, found
}

// Withdraw removes queued work whose caller has gone.
func (s *Scheduler) Withdraw(id ID, service dotterelpulley.ServiceID) {
	v := s.service(service)
	v.queue = slices.DeleteFunc(v.queue, func(w Work) bool { return w.ID == id })
}

// Waiting returns the number of queued requests of the service.
func (s *Scheduler) Waiting(id dotterelpulley.ServiceID) int {
	return len(s.service(id).queue)
}

// Usable reports whether the service has an endpoint that work may be placed on.
func (s *Scheduler) Usable(now time.Time, id dotterelpulley.ServiceID) bool {
	return slices.ContainsFunc(s.service(id).sorted, func(e *endpoint) bool { return e.usable(now) })
}

// RecordPlacement counts work that was sent to the endpoint without a decision of the scheduler as load.
func (s *Scheduler) RecordPlacement(now time.Time, w Work, id dotterelpulley.EndpointID) {
	v := s.service(w.Service)
	if e, ok := v.endpoints[id]; ok {
		s.start(now, v, w, e)
	}
}
