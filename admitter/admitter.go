package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultMaxWaiting = 4096
	// closedDuration is how long lower tiers stay closed after a request of a higher tier was refused for load.
	closedDuration = time.Second
	// minRetryAfter and maxRetryAfter bound the delay before a refused caller retries.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxSkippedFlows bounds the organisations of a tier that Next skips because their first request can't run.
	maxSkippedFlows = 4
)

// Admitter queues the waiting requests of all services; the zero value is ready to use.
type Admitter struct {
	// Seed seeds the random spread of retry delays.
	Seed uint64
	// MaxWaiting bounds the queued requests of a service; 4096 if zero.
	MaxWaiting int
	// Weight returns an organisation's share relative to the others; all are equal if nil.
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
	// closedUntil holds, for each tier, until when it is closed in favour of a higher tier.
	closedUntil [dotterelpulley.TierCount]time.Time
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

// Offer queues the request and returns the requests refused as a result, possibly including it.
func (a *Admitter) Offer(now time.Time, r Request) []Shed {
	s := a.service(r.Service)
	if _, duplicate := a.entries[r.ID]; duplicate {
		return nil
	}
	if !r.Tier.Valid() {
		r.Tier = dotterelpulley.TierBackground
	}
	r.Cost = max(r.Cost, 1)
	if !now.Before(r.Deadline) {
		return []Shed{a.shed(r, dotterelpulley.ErrorDeadlinePassed, 0)}
	}
	closed := now.Before(s.closedUntil[r.Tier])
	if closed && !s.hasLowerTierWaiting(r.Tier) {
		return []Shed{a.shed(r, dotterelpulley.ErrorShed, s.closedUntil[r.Tier].Sub(now))}
	}
	s.demand[r.Tier].addCost(now, r.Cost)
	if late := a.lateness(now, s, r); late > 0 {
		a.closeLowerTiers(now, s, r)
		return []Shed{a.shed(r, dotterelpulley.ErrorDeadlineUnreachable, late)}
	}
	a.push(now, s, r)
	if !closed && s.count <= a.maxWaiting() {
		return nil
	}
	return []Shed{a.evict(now, s)}
}

// hasLowerTierWaiting reports whether a request of a lower tier is queued.
func (s *service) hasLowerTierWaiting(tier dotterelpulley.Tier) bool {
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

// lateness returns by how much the request is estimated to miss its deadline, negative if it meets it.
func (a *Admitter) lateness(now time.Time, s *service, r Request) time.Duration {
	finish := now.Add(s.runTime(r.Cost))
	if float64(s.running()) >= s.capacity() || s.count > 0 {
		finish = finish.Add(s.waitTime(now, r, a.ahead(s, r)))
	}
	return finish.Sub(r.Deadline)
}

func (a *Admitter) ahead(s *service, r Request) Cost {
	var ahead Cost
	for higher := dotterelpulley.TierUrgent; higher < r.Tier; higher++ {
		ahead += s.queues[higher].cost
	}
	return ahead + s.queues[r.Tier].ahead(r.Organisation, r.Cost, a.weight(r.Organisation))
}

// closeLowerTiers closes the tiers below the refused request, unless it would miss its deadline even without load.
func (a *Admitter) closeLowerTiers(now time.Time, s *service, r Request) {
	if now.Add(s.runTime(r.Cost)).After(r.Deadline) {
		return
	}
	for lower := r.Tier + 1; lower < dotterelpulley.TierCount; lower++ {
		s.closedUntil[lower] = now.Add(closedDuration)
	}
}

func (a *Admitter) push(now time.Time, s *service, r Request) {
	e := &entry{Request: r, latestStart: r.Deadline.Add(-s.runTime(r.Cost)).UnixNano()}
	s.queues[r.Tier].push(e, a.weight(r.Organisation))
	s.count++
	s.demand[r.Tier].waiting++
	s.demand[r.Tier].updatePeak(now)
	a.entries[r.ID] = e
	a.expiry.add(e)
}

// evict refuses the eviction candidate of the lowest tier that has queued requests and closes the tiers below it.
func (a *Admitter) evict(now time.Time, s *service) Shed {
	for tier := dotterelpulley.TierBackground; ; tier-- {
		e, ok := s.queues[tier].evictionCandidate()
		if !ok {
			continue
		}
		a.drop(s, e)
		for lower := tier + 1; lower < dotterelpulley.TierCount; lower++ {
			s.closedUntil[lower] = now.Add(closedDuration)
		}
		return a.shed(e.Request, dotterelpulley.ErrorShed, s.waitTime(now, e.Request, s.queues[tier].cost)/2)
	}
}

func (a *Admitter) untrack(s *service, e *entry) {
	delete(a.entries, e.ID)
	a.expiry.remove(e)
	s.count--
	s.demand[e.Tier].waiting--
}

func (a *Admitter) drop(s *service, e *entry) {
	s.queues[e.Tier].remove(e)
	a.untrack(s, e)
}

func (a *Admitter) shed(r Request, kind dotterelpulley.ErrorKind, after time.Duration) Shed {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	spread := after/2 + time.Duration(a.random.Int64N(int64(after)))
	return Shed{Request: r, Kind: kind, RetryAfter: max(spread, minRetryAfter)}
}

// Next dequeues the first request of the service, in tier and fair-share order, for which canRun holds.
func (a *Admitter) Next(now time.Time, id dotterelpulley.ServiceID, canRun func(Request) bool) (Request, bool) {
	s := a.service(id)
	for tier, q := range s.queues {
		if now.Before(s.closedUntil[tier]) {
			break
		}
		e, ok := a.nextRunnable(now, q, canRun)
		if !ok {
			continue
		}
		q.dequeue(e)
		a.untrack(s, e)
		a.start(now, s, e.Request)
		return e.Request, true
	}
	return Request{}, false
}

// nextRunnable returns the first entry of the queue that can run.
func (a *Admitter) nextRunnable(now time.Time, q *fairQueue, canRun func(Request) bool) (*entry, bool) {
	var skipped [maxSkippedFlows]*flow
	var found *entry
	n := 0
	for n < maxSkippedFlows && found == nil {
		f, ok := q.active.first()
		if !ok {
			break
		}
		if e := f.head; e.latestStart >= now.UnixNano() && canRun(e.Request) {
			found = e
			break
		}
		q.active.remove(f)
		skipped[n] = f
		n++
	}
	for _, f := range skipped[:n] {
		q.active.add(f)
	}
	return found, found != nil
}

func (a *Admitter) start(now time.Time, s *service, r Request) {
	s.demand[r.Tier].running++
	s.demand[r.Tier].updatePeak(now)
	s.maxRunning = max(s.maxRunning, s.running())
	a.runs[r.ID] = run{Request: r, started: now}
}

// Finished records the end of an admitted request's run and its actual cost.
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

// Remove removes a queued request whose caller has gone and reports whether it was queued.
func (a *Admitter) Remove(id ID) bool {
	e, ok := a.entries[id]
	if !ok {
		return false
	}
	a.drop(a.services[e.Service], e)
	return true
}

// Expire refuses the queued requests that can no longer meet their deadlines.
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

// NextExpiry returns when Expire next has requests to refuse.
func (a *Admitter) NextExpiry() (time.Time, bool) {
	a.init()
	e, ok := a.expiry.first()
	if !ok {
		return time.Time{}, false
	}
	return time.Unix(0, e.latestStart+1), true
}

// SetCapacity sets how many requests of the service this host may run concurrently.
func (a *Admitter) SetCapacity(id dotterelpulley.ServiceID, slots float64) {
	a.service(id).slots = slots
}

// Reserve returns the fraction of an endpoint's slots that the tier leaves free for higher tiers.
func (a *Admitter) Reserve(now time.Time, id dotterelpulley.ServiceID, tier dotterelpulley.Tier) float64 {
	return a.service(id).reserve(now, tier)
}

// Waiting returns the number of queued requests of the service.
func (a *Admitter) Waiting(id dotterelpulley.ServiceID) int {
	return a.service(id).count
}

// Load returns the running and queued requests of the service relative to this host's capacity for it.
func (a *Admitter) Load(id dotterelpulley.ServiceID) float64 {
	s := a.service(id)
	return float64(s.running()+s.count) / s.capacity()
}

// Wait returns the estimated time until the queued requests of the tier and above have started.
func (a *Admitter) Wait(now time.Time, id dotterelpulley.ServiceID, tier dotterelpulley.Tier) time.Duration {
	s := a.service(id)
	var ahead Cost
	for t := dotterelpulley.TierUrgent; t <= tier; t++ {
		ahead += s.queues[t].cost
	}
	return s.waitTime(now, Request{Tier: tier, Deadline: now.Add(tier.DefaultDeadline())}, ahead)
}
