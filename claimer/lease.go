package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// lease is the right to dispatch; it runs from when the last renewal that took effect was sent.
type lease struct {
	sent map[RecordID]time.Time
	from time.Time
}

func (l *lease) holds(now time.Time, s Settings) bool {
	return !l.from.IsZero() && now.Sub(l.from) < s.Lease-s.LeaseGuard
}

func (l *lease) landed(id RecordID) {
	at, ok := l.sent[id]
	if !ok {
		return
	}
	delete(l.sent, id)
	if at.After(l.from) {
		l.from = at
	}
}

// rosterWriter appends roster records, at most one at a time.
type rosterWriter struct {
	id      RecordID
	record  RosterRecord
	ended   time.Time
	renewAt time.Time
	// showAt is when a renewal is due that confirms that this host has read the newest epoch.
	showAt time.Time

	lastRead time.Time
}

func (w *rosterWriter) nextRead() time.Time {
	return w.lastRead.Add(rereadInterval)
}

const rereadInterval = 200 * time.Millisecond

func (c *Claimer) readRoster(e RosterRead) {
	for _, p := range e.Records {
		epoch := c.roster.Epoch
		before := c.roster.Ranges
		started := c.roster.started
		counted := c.roster.Apply(p)
		if p.ID == c.log.id {
			c.log.id = ""
		}
		if counted {
			c.heard(p)
		}
		if epoch != c.roster.Epoch {
			c.log.showAt = c.now.Add(c.showDelay())
		}
		if started != c.roster.started || epoch != c.roster.Epoch || before != c.roster.Ranges {
			c.rangesChanged(before)
		}
	}
	if !e.AtEnd {
		return
	}
	if c.roster.NextOffset() == 1 {
		c.roster.started = true
	}
	if !c.paused.IsZero() && !e.SentAt.Before(c.paused) {
		c.paused = time.Time{}
	}
	if c.log.id != "" && !c.log.ended.IsZero() && !e.SentAt.Before(c.log.ended) {
		c.log.id = ""
	}
}

func (c *Claimer) heard(p StoredRosterRecord) {
	switch rec := p.Record.(type) {
	case Join:
		c.suspects.heard[rec.Member.Incarnation] = c.now
		c.lease.landed(p.ID)
	case Renew:
		c.suspects.heard[rec.Incarnation] = c.now
		c.suspects.drop(rec.Incarnation)
		if rec.Incarnation == c.Self.Incarnation {
			c.lease.landed(p.ID)
		}
	case Leave:
		c.removed(rec.Incarnation)
	case Expire:
		c.removed(rec.Incarnation)
	case Yield:
		if rec.Incarnation == c.Self.Incarnation {
			c.closing.yielded = c.now
		}
	case Drain, Snapshot, Void:
	}
}

// rangesChanged records the ranges that this host has acquired, whose earlier claims must be read before use.
func (c *Claimer) rangesChanged(before [RangeCount]RangeState) {
	for i := range c.roster.Ranges {
		state := c.roster.Ranges[i]
		id := RangeID(i)
		if state.Holder != c.Self.Incarnation {
			delete(c.acquired, id)
			delete(c.taken, id)
			continue
		}
		if before[i].Holder == state.Holder && before[i].Since == state.Since {
			continue
		}
		c.acquired[id] = c.now
		if before[i].Holder != "" || c.roster.LastRemoval > 0 {
			c.taken[id] = c.now
		}
	}
}

func (c *Claimer) advanceRosterWriter() {
	if c.log.id != "" || !c.roster.started || !c.paused.IsZero() || c.closing.expelled {
		return
	}
	record := c.wantedRecord()
	if record == nil {
		return
	}
	id := c.nextID()
	c.log.id, c.log.record, c.log.ended = id, record, time.Time{}
	switch record.(type) {
	case Join, Renew:
		c.lease.sent[id] = c.now
		c.log.renewAt = c.now.Add(c.Settings.RenewEvery())
	case Drain, Leave, Yield, Expire, Snapshot, Void:
	}
	c.do(AppendRoster{ID: id, Record: record})
}

// wantedRecord returns the most urgent record for this host to append, or nil.
func (c *Claimer) wantedRecord() RosterRecord {
	self := c.Self.Incarnation
	me, joined := c.roster.MemberOf(self)
	switch {
	case !joined && slices.Contains(c.roster.Ended, self):
		return nil
	case !joined && c.closing.draining:
		return nil
	case !joined:
		return Join{Member: c.Self}
	case c.closing.draining && !me.Draining:
		return Drain{Incarnation: self}
	case c.mustYield():
		return Yield{Incarnation: self, Epoch: c.roster.Epoch}
	case c.closing.signedOff && c.allRecorded() && !c.mayStillStart() && c.vouched():
		return Leave{Incarnation: self}
	}
	if expire, ok := c.judged(); ok {
		return expire
	}
	if !c.now.Before(c.log.renewAt) || c.mustShowView(me) {
		return Renew{Incarnation: self, Base: c.roster.LastOffset(), Unrecorded: c.unrecorded() > 0}
	}
	if c.roster.applied >= c.Settings.SnapshotEvery && c.roster.Members[0].Incarnation == self {
		return Snapshot{Base: c.roster.LastOffset(), State: c.roster.state()}
	}
	return nil
}

const (
	// showAfter lets one renewal confirm several changes of the roster.
	showAfter = 500 * time.Millisecond
	// showSpread keeps the members of a large roster from renewing at once.
	showSpread = 30 * time.Millisecond
)

// showDelay returns how long after a change of the roster this host renews.
func (c *Claimer) showDelay() time.Duration {
	return showAfter + time.Duration(max(c.roster.index(c.Self.Incarnation), 0))*showSpread
}

// mustShowView reports whether the last renewal is based on an older epoch, so that a takeover of this host would not count as clean.
func (c *Claimer) mustShowView(me RosterMember) bool {
	return me.RenewBase < c.roster.Epoch && !c.now.Before(c.log.showAt)
}

// mustYield reports whether ranges must be handed over and every claim in them is on the log.
func (c *Claimer) mustYield() bool {
	moving := false
	for i := range c.roster.Ranges {
		if !c.moving(RangeID(i)) {
			continue
		}
		if c.group.touches(RangeID(i)) {
			return false
		}
		moving = true
	}
	return moving
}

func (c *Claimer) moving(id RangeID) bool {
	s := c.roster.Ranges[id]
	return s.Holder == c.Self.Incarnation && s.Target != s.Holder
}

// vouched reports whether new holders no longer need this host to identify the requests that it has refused.
func (c *Claimer) vouched() bool {
	const bothHosts = 2
	return c.now.Sub(c.closing.yielded) >= bothHosts*c.Settings.ArrivalError
}

// mayStillStart reports whether a claiming or granted request has not yet sent its first byte.
func (c *Claimer) mayStillStart() bool {
	for _, r := range c.tickets {
		if r.state == runClaiming || r.state == runGranted {
			return true
		}
	}
	return false
}

func (c *Claimer) removed(id dotterelpulley.Incarnation) {
	c.suspects.drop(id)
	c.witness.forget(id)
	if id != c.Self.Incarnation || c.closing.told {
		return
	}
	c.closing.told = true
	if c.closing.signedOff {
		c.do(SignedOff{})
		return
	}
	c.closing.expelled = true
	c.do(Expelled{})
}

// advanceReads repeats the reads whose results are still needed.
func (c *Claimer) advanceReads() {
	if c.now.Before(c.log.nextRead()) {
		return
	}
	rosterWaits := !c.roster.started || !c.paused.IsZero() || c.log.id != ""
	claimsWait := len(c.acquired) > 0 || c.group.waitsForRead()
	if !rosterWaits && !claimsWait {
		return
	}
	c.log.lastRead = c.now
	if rosterWaits {
		c.do(ReadRoster{From: c.roster.NextOffset()})
	}
	if claimsWait {
		c.do(ReadClaims{From: c.NextClaimsOffset()})
	}
}
