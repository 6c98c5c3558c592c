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
	// sentAt is when the last append was sent.
	sentAt   time.Time
	inFlight *sentGroup
	// unrecordedSince is when the oldest claim that is not on the log was first sent; zero when the log has confirmed all of them.
	unrecordedSince time.Time
}

type sentGroup struct {
	record ClaimsRecord
	runs   []*run
	// failedAt is when the append ended with an unknown result; zero while it is in flight.
	failedAt time.Time
}

// hasPending reports whether a claim or release in the range is not on the log yet.
func (g *group) hasPending(id RangeID) bool {
	inRange := func(h KeyHash) bool { return h.Range() == id }
	isInRange := func(r *run) bool { return inRange(r.hash) }
	if slices.ContainsFunc(g.waiting, isInRange) || slices.ContainsFunc(g.released, inRange) {
		return true
	}
	if g.inFlight == nil {
		return false
	}
	record := g.inFlight.record
	return slices.ContainsFunc(record.Claimed, inRange) || slices.ContainsFunc(record.Released, inRange)
}

func (g *group) awaitsRead() bool {
	return g.inFlight != nil && !g.inFlight.failedAt.IsZero()
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
	if c.now.Sub(g.sentAt) < c.Settings.GroupInterval {
		return
	}
	g.sequence++
	g.sentAt = c.now
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
	if g.unrecordedSince.IsZero() {
		g.unrecordedSince = c.now
	}
	c.emit(AppendClaims{Record: record})
}

func (c *Claimer) endAppend(e AppendEnded) {
	if e.ID == c.writer.id {
		c.writer.endedAt = c.now
		c.emit(ReadRoster{From: c.roster.NextOffset()})
		return
	}
	g := &c.group
	if g.inFlight == nil || g.inFlight.record.ID != e.ID {
		return
	}
	if e.Acknowledged {
		c.markRecorded()
		return
	}
	g.inFlight.failedAt = c.now
}

// markRecorded marks the claims in flight as being on the log.
func (c *Claimer) markRecorded() {
	g := &c.group
	for _, r := range g.inFlight.runs {
		r.recorded = true
	}
	g.inFlight = nil
	g.unrecordedSince = time.Time{}
}

func (c *Claimer) readClaims(e ClaimsRead) {
	g := &c.group
	for _, stored := range e.Records {
		c.index.apply(stored)
		if g.inFlight != nil && stored.ID == g.inFlight.record.ID {
			c.markRecorded()
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
	if g.awaitsRead() && !e.SentAt.Before(g.inFlight.failedAt) && !c.closing.expelled {
		g.inFlight.failedAt = time.Time{}
		c.emit(AppendClaims{Record: g.inFlight.record})
	}
}

// unrecordedCount returns the number of requests that were granted from memory and are not on the log.
func (c *Claimer) unrecordedCount() int {
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
