package claimer

import (
	"slices"
	"time"
)

// group batches claims into appends, with at most one append in flight.
type group struct {
	sequence int64
	// waiting are the claims for the next append.
	waiting  []*run
	released []KeyHash
	// sent is when the last append was sent.
	sent     time.Time
	inFlight *sentGroup
	// overdue is when the oldest claim that is not on the log was first sent; zero when the log has confirmed all of them.
	overdue time.Time
}

type sentGroup struct {
	record ClaimsRecord
	runs   []*run
	// failed is when the append ended with an unknown result; zero while it is in flight.
	failed time.Time
}

// touches reports whether a claim or release in the range is not on the log yet.
func (g *group) touches(id RangeID) bool {
	inRange := func(h KeyHash) bool { return h.Range() == id }
	waits := func(r *run) bool { return inRange(r.hash) }
	if slices.ContainsFunc(g.waiting, waits) || slices.ContainsFunc(g.released, inRange) {
		return true
	}
	if g.inFlight == nil {
		return false
	}
	record := g.inFlight.record
	return slices.ContainsFunc(record.Claimed, inRange) || slices.ContainsFunc(record.Released, inRange)
}

func (g *group) waitsForRead() bool {
	return g.inFlight != nil && !g.inFlight.failed.IsZero()
}

func (g *group) empty() bool {
	return len(g.waiting) == 0 && len(g.released) == 0 && g.inFlight == nil
}

func (g *group) add(r *run) {
	g.waiting = append(g.waiting, r)
}

// release withdraws the claim of a request that was not started.
func (g *group) release(r *run) {
	if i := slices.Index(g.waiting, r); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return
	}
	g.released = append(g.released, r.hash)
}

func (c *Claimer) advanceGroup() {
	g := &c.group
	if g.inFlight != nil || len(g.waiting)+len(g.released) == 0 || c.closing.expelled {
		return
	}
	if c.now.Sub(g.sent) < c.Settings.GroupInterval {
		return
	}
	g.sequence++
	g.sent = c.now
	record := ClaimsRecord{
		ID:          c.nextID(),
		Incarnation: c.Self.Incarnation,
		Sequence:    g.sequence,
		Released:    g.released,
	}
	for _, r := range g.waiting {
		record.Claimed = append(record.Claimed, r.hash)
	}
	g.inFlight = &sentGroup{record: record, runs: g.waiting}
	g.waiting, g.released = nil, nil
	if g.overdue.IsZero() {
		g.overdue = c.now
	}
	c.do(AppendClaims{Record: record})
}

func (c *Claimer) endAppend(e AppendEnded) {
	if e.ID == c.log.id {
		c.log.ended = c.now
		c.do(ReadRoster{From: c.roster.NextOffset()})
		return
	}
	g := &c.group
	if g.inFlight == nil || g.inFlight.record.ID != e.ID {
		return
	}
	if e.Acknowledged {
		c.recorded()
		return
	}
	g.inFlight.failed = c.now
}

// recorded marks the claims in flight as being on the log.
func (c *Claimer) recorded() {
	g := &c.group
	for _, r := range g.inFlight.runs {
		r.recorded = true
	}
	g.inFlight = nil
	g.overdue = time.Time{}
}

func (c *Claimer) readClaims(e ClaimsRead) {
	g := &c.group
	for _, p := range e.Records {
		c.index.apply(p)
		if g.inFlight != nil && p.ID == g.inFlight.record.ID {
			c.recorded()
		}
	}
	if !e.AtEnd {
		return
	}
	for id, at := range c.acquired {
		if !e.SentAt.Before(at) {
			delete(c.acquired, id)
		}
	}
	if g.waitsForRead() && !e.SentAt.Before(g.inFlight.failed) && !c.closing.expelled {
		g.inFlight.failed = time.Time{}
		c.do(AppendClaims{Record: g.inFlight.record})
	}
}

// unrecorded returns the number of requests that were granted from memory and are not on the log.
func (c *Claimer) unrecorded() int {
	n := 0
	count := func(runs []*run) {
		for _, r := range runs {
			if r.fromMemory && !r.recorded {
				n++
			}
		}
	}
	count(c.group.waiting)
	if c.group.inFlight != nil {
		count(c.group.inFlight.runs)
	}
	return n
}

func (c *Claimer) allRecorded() bool {
	return c.group.empty()
}
