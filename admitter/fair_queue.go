package admitter

import "github.com/dotterelpulley/dotterelpulley"

// entry is a waiting request in its organisation's line.
type entry struct {
	Request
	latestStart int64
	flow        *flow
	previous    *entry
	next        *entry
	expiryAt    int
}

func (e *entry) position() *int { return &e.expiryAt }

// flow is the line of one organisation within a tier.
type flow struct {
	organisation dotterelpulley.OrganisationID
	weight       float64
	// start is the virtual time at which the flow's first entry may start.
	start   float64
	backlog Cost
	head    *entry
	tail    *entry
	at      int
}

func (f *flow) position() *int { return &f.at }

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

// heavy ranks a flow by its backlog against its weight.
type heavy struct {
	*flow
	heavyAt int
}

func (h *heavy) position() *int { return &h.heavyAt }

// fairQueue shares one tier among organisations by start-time fair queueing.
type fairQueue struct {
	virtual float64
	cost    Cost
	count   int
	weights float64
	flows   map[dotterelpulley.OrganisationID]*heavy
	active  indexHeap[*flow]
	// idle holds emptied flows until virtual time has passed what they used.
	idle    indexHeap[*flow]
	heavies indexHeap[*heavy]
}

func newFairQueue() *fairQueue {
	earlier := func(a, b *flow) bool {
		if a.start != b.start {
			return a.start < b.start
		}
		return a.organisation < b.organisation
	}
	return &fairQueue{
		flows:  map[dotterelpulley.OrganisationID]*heavy{},
		active: indexHeap[*flow]{less: earlier},
		idle:   indexHeap[*flow]{less: earlier},
		heavies: indexHeap[*heavy]{less: func(a, b *heavy) bool {
			left, right := float64(a.backlog)/a.weight, float64(b.backlog)/b.weight
			if left != right {
				return left > right
			}
			return a.organisation < b.organisation
		}},
	}
}

func (q *fairQueue) push(e *entry, weight float64) {
	h, known := q.flows[e.Organisation]
	if !known {
		h = &heavy{flow: &flow{organisation: e.Organisation, start: q.virtual}}
		q.flows[e.Organisation] = h
	}
	if h.head == nil {
		if known {
			q.idle.remove(h.flow)
		}
		h.weight = weight
		h.start = max(h.start, q.virtual)
		h.push(e)
		q.weights += weight
		q.active.add(h.flow)
		q.heavies.add(h)
	} else {
		h.push(e)
		q.heavies.fix(h)
	}
	q.cost += e.Cost
	q.count++
}

func (q *fairQueue) remove(e *entry) {
	f := e.flow
	f.unlink(e)
	q.cost -= e.Cost
	q.count--
	h := q.flows[f.organisation]
	if f.head != nil {
		q.heavies.fix(h)
		return
	}
	q.weights -= f.weight
	q.heavies.remove(h)
	q.active.remove(f)
	q.idle.add(f)
	if q.count == 0 {
		q.reset()
		return
	}
	q.forget()
}

// reset forgets all debts, since nobody competes.
func (q *fairQueue) reset() {
	clear(q.flows)
	clear(q.idle.members)
	q.idle.members = q.idle.members[:0]
	q.virtual, q.cost, q.weights = 0, 0, 0
}

// take removes an entry that starts now and charges its organisation.
func (q *fairQueue) take(e *entry) {
	f := e.flow
	q.virtual = max(q.virtual, f.start)
	f.start += float64(e.Cost) / f.weight
	q.active.fix(f)
	q.remove(e)
}

// forget drops idle organisations that have no debt left.
func (q *fairQueue) forget() {
	for {
		f, ok := q.idle.first()
		if !ok || f.start > q.virtual {
			return
		}
		q.idle.remove(f)
		delete(q.flows, f.organisation)
	}
}

// ahead returns the work that starts before a new entry of the organisation does.
func (q *fairQueue) ahead(organisation dotterelpulley.OrganisationID, cost Cost, weight float64) Cost {
	weights := q.weights
	var own Cost
	if h, ok := q.flows[organisation]; ok && h.head != nil {
		own = h.backlog
	} else {
		weights += weight
	}
	share := Cost(float64(own+cost)*weights/weight) - cost
	return min(q.cost, max(share, 0))
}

// heaviest returns the newest entry of the organisation with the most backlog for its weight.
func (q *fairQueue) heaviest() (*entry, bool) {
	h, ok := q.heavies.first()
	if !ok {
		return nil, false
	}
	return h.tail, true
}
