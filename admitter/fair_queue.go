package admitter

import "github.com/dotterelpulley/dotterelpulley"

// entry is a waiting request in the queue of its organisation.
type entry struct {
	Request
	// latestStart is when the request has to start to meet its deadline, in Unix nanoseconds.
	latestStart int64
	flow        *flow
	previous    *entry
	next        *entry
	expiryIndex int
}

func (e *entry) position() *int { return &e.expiryIndex }

// flow is the queue of one organisation within a tier.
type flow struct {
	organisation dotterelpulley.OrganisationID
	weight       float64
	// start is the virtual start time of the flow's first entry.
	start     float64
	backlog   Cost
	head      *entry
	tail      *entry
	heapIndex int
}

func (f *flow) position() *int { return &f.heapIndex }

func (f *flow) push(e *entry) {
	e.flow = f
	e.previous = f.tail
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
	f.backlog += e.Cost
}

func (f *flow) unlink(e *entry) {
	if e.previous == nil {
		f.head = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		f.tail = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
	f.backlog -= e.Cost
}

// rankedFlow is a flow ranked by its backlog relative to its weight.
type rankedFlow struct {
	*flow
	rankIndex int
}

func (r *rankedFlow) position() *int { return &r.rankIndex }

// fairQueue shares one tier among organisations by start-time fair queueing.
type fairQueue struct {
	virtualTime  float64
	cost         Cost
	count        int
	activeWeight float64
	flows        map[dotterelpulley.OrganisationID]*rankedFlow
	active       indexHeap[*flow]
	// idle holds empty flows until virtual time has passed their start, so that used service still counts.
	idle      indexHeap[*flow]
	byBacklog indexHeap[*rankedFlow]
}

func newFairQueue() *fairQueue {
	earlier := func(a, b *flow) bool {
		if a.start != b.start {
			return a.start < b.start
		}
		return a.organisation < b.organisation
	}
	return &fairQueue{
		flows:  map[dotterelpulley.OrganisationID]*rankedFlow{},
		active: indexHeap[*flow]{less: earlier},
		idle:   indexHeap[*flow]{less: earlier},
		byBacklog: indexHeap[*rankedFlow]{less: func(a, b *rankedFlow) bool {
			left, right := float64(a.backlog)/a.weight, float64(b.backlog)/b.weight
			if left != right {
				return left > right
			}
			return a.organisation < b.organisation
		}},
	}
}

func (q *fairQueue) push(e *entry, weight float64) {
	r, known := q.flows[e.Organisation]
	if !known {
		r = &rankedFlow{flow: &flow{organisation: e.Organisation, start: q.virtualTime}}
		q.flows[e.Organisation] = r
	}
	if r.head == nil {
		if known {
			q.idle.remove(r.flow)
		}
		r.weight = weight
		r.start = max(r.start, q.virtualTime)
		r.push(e)
		q.activeWeight += weight
		q.active.add(r.flow)
		q.byBacklog.add(r)
	} else {
		r.push(e)
		q.byBacklog.fix(r)
	}
	q.cost += e.Cost
	q.count++
}

func (q *fairQueue) remove(e *entry) {
	f := e.flow
	f.unlink(e)
	q.cost -= e.Cost
	q.count--
	r := q.flows[f.organisation]
	if f.head != nil {
		q.byBacklog.fix(r)
		return
	}
	q.activeWeight -= f.weight
	q.byBacklog.remove(r)
	q.active.remove(f)
	q.idle.add(f)
	if q.count == 0 {
		q.reset()
		return
	}
	q.dropIdle()
}

// reset clears the virtual time and all flows, as an empty queue has no competing organisations.
func (q *fairQueue) reset() {
	clear(q.flows)
	clear(q.idle.members)
	q.idle.members = q.idle.members[:0]
	q.virtualTime, q.cost, q.activeWeight = 0, 0, 0
}

// dequeue removes an entry that starts now and charges its cost to its organisation.
func (q *fairQueue) dequeue(e *entry) {
	f := e.flow
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += float64(e.Cost) / f.weight
	q.active.fix(f)
	q.remove(e)
}

// dropIdle removes idle flows whose virtual start time has passed.
func (q *fairQueue) dropIdle() {
	for {
		f, ok := q.idle.first()
		if !ok || f.start > q.virtualTime {
			return
		}
		q.idle.remove(f)
		delete(q.flows, f.organisation)
	}
}

// ahead returns the cost of the work that starts before a new entry of the organisation does.
func (q *fairQueue) ahead(organisation dotterelpulley.OrganisationID, cost Cost, weight float64) Cost {
	weights := q.activeWeight
	var ownBacklog Cost
	if r, ok := q.flows[organisation]; ok && r.head != nil {
		ownBacklog = r.backlog
	} else {
		weights += weight
	}
	share := Cost(float64(ownBacklog+cost)*weights/weight) - cost
	return min(q.cost, max(share, 0))
}

// evictionCandidate returns the newest entry of the organisation with the largest backlog relative to its weight.
func (q *fairQueue) evictionCandidate() (*entry, bool) {
	r, ok := q.byBacklog.first()
	if !ok {
		return nil, false
	}
	return r.tail, true
}
