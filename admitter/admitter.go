package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultMaxWaiting = 4096
	// closedTime is how long lower tiers stay closed after a higher one was refused for load.
	closedTime = time.Second
	// leastRetryAfter and mostRetryAfter bound the time after which a refused caller comes back.
	leastRetryAfter = time.Second
	mostRetryAfter  = 30 * time.Second
	// passedOver bounds the organisations that Next tries in a tier.
	passedOver = 4
)

// Admitter holds the waiting requests of all services; the zero value works.
type Admitter struct {
	// Seed spreads the times after which refused callers come back.
	Seed uint64
	// MaxWaiting bounds the waiting requests of a service; 4096 if zero.
	MaxWaiting int
	// Weight gives an organisation's share against the others'; all are equal if nil.
	Weight func(dotterelpulley.OrganisationID) int

	random   *rand.Rand
	services map[dotterelpulley.ServiceID]*service
	entries  map[ID]*entry
	runs     map[ID]run
	expiry   *indexHeap[*entry]
}

type run struct {
	Request
	started time.Time
}

// service is the queue of one service.
type service struct {
	estimate
	queues [dotterelpulley.TierCount]*fairQueue
	count  int
	// closed holds for each tier until when it is closed for a higher tier's sake.
	closed [dotterelpulley.TierCount]time.Time
}

func (a *Admitter) init() {
	if a.entries != nil {
		return
	}
	a.random = rand.New(rand.NewPCG(a.Seed, a.Seed))
	a.services = map[dotterelpulley.ServiceID]*service{}
	a.entries = map[ID]*entry{}
	a.runs = map[ID]run{}
	a.expiry = &indexHeap[*entry]{less: func(x, y *entry) bool { return x.latestStart < y.latestStart }}
}

func (a *Admitter) service(id dotterelpulley.ServiceID) *service {
	a.init()
	s, ok := a.services[id]
	if !ok {
		s = &service{}
		for t := range s.queues {
			s.queues[t] = newFairQueue()
		}
		a.services[id] = s
	}
	return s
}

func (a *Admitter) weight(id dotterelpulley.OrganisationID) float64 {
	if a.Weight == nil {
		return 1
	}
	return float64(max(a.Weight(id), 1))
}

// Offer queues the request and returns what is refused in turn, the request itself among them or not.
func (a *Admitter) Offer(now time.Time, w Request) []Shed {
	s := a.service(w.Service)
	if _, twice := a.entries[w.ID]; twice {
		return nil
	}
	if !w.Tier.Valid() {
		w.Tier = dotterelpulley.TierBackground
	}
	w.Cost = max(w.Cost, 1)
	if !now.Before(w.Deadline) {
		return []Shed{a.shed(w, dotterelpulley.ErrorDeadlinePassed, 0)}
	}
	closed := now.Before(s.closed[w.Tier])
	if closed && !s.waitsBelow(w.Tier) {
		return []Shed{a.shed(w, dotterelpulley.ErrorShed, s.closed[w.Tier].Sub(now))}
	}
	s.demand[w.Tier].addCost(now, w.Cost)
	if late := a.lateBy(now, s, w); late > 0 {
		a.closeBelow(now, s, w)
		return []Shed{a.shed(w, dotterelpulley.ErrorDeadlineUnreachable, late)}
	}
	a.push(now, s, w)
	if !closed && s.count <= a.maxWaiting() {
		return nil
	}
	return []Shed{a.evict(now, s)}
}

// waitsBelow reports whether a request of a lower tier waits.
func (s *service) waitsBelow(tier dotterelpulley.Tier) bool {
	for lower := tier + 1; lower < dotterelpulley.TierCount; lower++ {
		if s.queues[lower].count > 0 {
			return true
		}
	}
	return false
}

func (a *Admitter) maxWaiting() int {
	if a.MaxWaiting > 0 {
		return a.MaxWaiting
	}
	return defaultMaxWaiting
}

// lateBy returns by how much the request would miss its deadline by the estimate.
func (a *Admitter) lateBy(now time.Time, s *service, w Request) time.Duration {
	finish := now.Add(s.runTime(w.Cost))
	if float64(s.running()) >= s.capacity() || s.count > 0 {
		finish = finish.Add(s.waitTime(now, w, a.ahead(s, w)))
	}
	return finish.Sub(w.Deadline)
}

func (a *Admitter) ahead(s *service, w Request) Cost {
	var ahead Cost
	for higher := dotterelpulley.TierUrgent; higher < w.Tier; higher++ {
		ahead += s.queues[higher].cost
	}
	return ahead + s.queues[w.Tier].ahead(w.Organisation, w.Cost, a.weight(w.Organisation))
}

// closeBelow keeps the lower tiers out when the request is refused for the load alone.
func (a *Admitter) closeBelow(now time.Time, s *service, w Request) {
	if now.Add(s.runTime(w.Cost)).After(w.Deadline) {
		return
	}
	for lower := w.Tier + 1; lower < dotterelpulley.TierCount; lower++ {
		s.closed[lower] = now.Add(closedTime)
	}
}

func (a *Admitter) push(now time.Time, s *service, w Request) {
	e := &entry{Request: w, latestStart: w.Deadline.Add(-s.runTime(w.Cost)).UnixNano()}
	s.queues[w.Tier].push(e, a.weight(w.Organisation))
	s.count++
	s.demand[w.Tier].waiting++
	s.demand[w.Tier].notePeak(now)
	a.entries[w.ID] = e
	a.expiry.add(e)
}

// evict refuses the newest request of the heaviest organisation in the lowest tier that waits.
func (a *Admitter) evict(now time.Time, s *service) Shed {
	for tier := dotterelpulley.TierBackground; ; tier-- {
		e, ok := s.queues[tier].heaviest()
		if !ok {
			continue
		}
		a.drop(s, e)
		for lower := tier + 1; lower < dotterelpulley.TierCount; lower++ {
			s.closed[lower] = now.Add(closedTime)
		}
		return a.shed(e.Request, dotterelpulley.ErrorShed, s.waitTime(now, e.Request, s.queues[tier].cost)/2)
	}
}

func (a *Admitter) forget(s *service, e *entry) {
	delete(a.entries, e.ID)
	a.expiry.remove(e)
	s.count--
	s.demand[e.Tier].waiting--
}

func (a *Admitter) drop(s *service, e *entry) {
	s.queues[e.Tier].remove(e)
	a.forget(s, e)
}

func (a *Admitter) shed(w Request, kind dotterelpulley.ErrorKind, after time.Duration) Shed {
	after = min(max(after, leastRetryAfter), mostRetryAfter)
	spread := after/2 + time.Duration(a.random.Int64N(int64(after)))
	return Shed{Request: w, Kind: kind, RetryAfter: max(spread, leastRetryAfter)}
}

// Next takes the request of the service that runs now, the first in turn for which can holds.
func (a *Admitter) Next(now time.Time, id dotterelpulley.ServiceID, can func(Request) bool) (Request, bool) {
	s := a.service(id)
	for tier, q := range s.queues {
		if now.Before(s.closed[tier]) {
			break
		}
		e, ok := a.nextOf(now, q, can)
		if !ok {
			continue
		}
		q.take(e)
		a.forget(s, e)
		a.start(now, s, e.Request)
		return e.Request, true
	}
	return Request{}, false
}

// nextOf returns the first entry in turn that can run.
func (a *Admitter) nextOf(now time.Time, q *fairQueue, can func(Request) bool) (*entry, bool) {
	var passed [passedOver]*flow
	var found *entry
	n := 0
	for n < passedOver && found == nil {
		f, ok := q.active.first()
		if !ok {
			break
		}
		if e := f.head; e.latestStart >= now.UnixNano() && can(e.Request) {
			found = e
			break
		}
		q.active.remove(f)
		passed[n] = f
		n++
	}
	for _, f := range passed[:n] {
		q.active.add(f)
	}
	return found, found != nil
}

func (a *Admitter) start(now time.Time, s *service, w Request) {
	s.demand[w.Tier].running++
	s.demand[w.Tier].notePeak(now)
	s.most = max(s.most, s.running())
	a.runs[w.ID] = run{Request: w, started: now}
}

// Finished ends the run of an admitted request; cost is the work that it turned out to be.
func (a *Admitter) Finished(now time.Time, id ID, cost Cost, outcome Outcome) {
	r, ok := a.runs[id]
	if !ok {
		return
	}
	delete(a.runs, id)
	s := a.service(r.Service)
	s.demand[r.Tier].running--
	if outcome == OutcomeCompleted {
		s.observe(cost, now.Sub(r.started))
	}
}

// Remove takes a request whose caller has gone out of its queue.
func (a *Admitter) Remove(id ID) bool {
	e, ok := a.entries[id]
	if !ok {
		return false
	}
	a.drop(a.services[e.Service], e)
	return true
}

// Expire gives up the requests that can no longer meet their deadlines.
func (a *Admitter) Expire(now time.Time) []Shed {
	a.init()
	var sheds []Shed
	for {
		e, ok := a.expiry.first()
		if !ok || e.latestStart >= now.UnixNano() {
			return sheds
		}
		s := a.services[e.Service]
		a.drop(s, e)
		kind := dotterelpulley.ErrorDeadlineUnreachable
		if !now.Before(e.Deadline) {
			kind = dotterelpulley.ErrorDeadlinePassed
		}
		sheds = append(sheds, a.shed(e.Request, kind, s.waitTime(now, e.Request, s.queues[e.Tier].cost)))
	}
}

// NextExpiry returns when Expire has something to give up.
func (a *Admitter) NextExpiry() (time.Time, bool) {
	a.init()
	e, ok := a.expiry.first()
	if !ok {
		return time.Time{}, false
	}
	return time.Unix(0, e.latestStart+1), true
}

// SetCapacity tells how many requests of the service this host may run at once.
func (a *Admitter) SetCapacity(id dotterelpulley.ServiceID, slots float64) {
	a.service(id).slots = slots
}

// Reserve returns the share of an endpoint's slots that the tier leaves free for higher tiers.
func (a *Admitter) Reserve(now time.Time, id dotterelpulley.ServiceID, tier dotterelpulley.Tier) float64 {
	return a.service(id).reserve(now, tier)
}

// Waiting returns how many requests of the service wait.
func (a *Admitter) Waiting(id dotterelpulley.ServiceID) int {
	return a.service(id).count
}

// Load returns the share of this host's part of the service that runs and waits.
func (a *Admitter) Load(id dotterelpulley.ServiceID) float64 {
	s := a.service(id)
	return float64(s.running()+s.count) / s.capacity()
}

// Wait returns how long the waiting requests of the tier and above take to start.
func (a *Admitter) Wait(now time.Time, id dotterelpulley.ServiceID, tier dotterelpulley.Tier) time.Duration {
	s := a.service(id)
	var ahead Cost
	for t := dotterelpulley.TierUrgent; t <= tier; t++ {
		ahead += s.queues[t].cost
	}
	return s.waitTime(now, Request{Tier: tier, Deadline: now.Add(tier.DefaultDeadline())}, ahead)
}
