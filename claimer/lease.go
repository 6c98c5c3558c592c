package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// lease is the right to dispatch; it runs from when the last renewal that took effect was sent.
type lease struct {
	sentRenewals map[RecordID]time.Time
	start        time.Time
}

func (l *lease) holds(now time.Time, s Settings) bool {
	return !l.start.IsZero() && now.Sub(l.start) < s.Lease-s.LeaseGuard
}

func (l *lease) accepted(id RecordID) {
	at, ok := l.sentRenewals[id]
	if !ok {
		return
	}
	delete(l.sentRenewals, id)
	if at.After(l.start) {
		l.start = at
	}
}

// rosterWriter appends roster records, at most one at a time.
type rosterWriter struct {
	id      RecordID
	record  RosterRecord
	endedAt time.Time
	renewAt time.Time
	// confirmAt is when a renewal is due that confirms that this host has read the newest epoch.
	confirmAt time.Time

	lastRead time.Time
	// readToEndAt is when the last read that reached the end of the roster was sent.
	readToEndAt time.Time
	// lastClaimsRead is apart from lastRead, so that reads of the two streams don't delay each other.
	lastClaimsRead time.Time
}

const rereadInterval = 200 * time.Millisecond

func (c *Claimer) readRoster(e RosterRead) {
	for _, stored := range e.Records {
		epoch := c.roster.Epoch
		before := c.roster.Ranges
		started := c.roster.started
		tookEffect := c.roster.Apply(stored)
		if stored.ID == c.writer.id {
			c.writer.id = ""
		}
		if tookEffect {
			c.processRecord(stored)
		}
		if epoch != c.roster.Epoch {
			c.writer.confirmAt = c.now.Add(c.confirmDelay())
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
	c.writer.readToEndAt = later(c.writer.readToEndAt, e.SentAt)
	if !c.pausedAt.IsZero() && !e.SentAt.Before(c.pausedAt) {
		c.pausedAt = time.Time{}
	}
	if c.writer.id != "" && !c.writer.endedAt.IsZero() && !e.SentAt.Before(c.writer.endedAt) {
		c.writer.id = ""
	}
}

func (c *Claimer) processRecord(stored StoredRosterRecord) {
	switch rec := stored.Record.(type) {
	case Join:
		c.suspects.lastRenewed[rec.Member.Incarnation] = c.now
		c.lease.accepted(stored.ID)
	case Renew:
		c.suspects.lastRenewed[rec.Incarnation] = c.now
		c.suspects.drop(rec.Incarnation)
		if rec.Incarnation == c.Self.Incarnation {
			c.lease.accepted(stored.ID)
		}
	case Leave:
		c.processRemoval(rec.Incarnation)
	case Expire:
		c.processRemoval(rec.Incarnation)
	case Yield:
		if rec.Incarnation == c.Self.Incarnation {
			c.closing.yieldedAt = c.now
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
			delete(c.receivedAt, id)
			continue
		}
		if before[i].Holder == state.Holder && before[i].Since == state.Since {
			continue
		}
		c.acquired[id] = c.now
		if before[i].Holder != "" || c.roster.LastRemoval > 0 {
			c.receivedAt[id] = c.now
		}
	}
}

func (c *Claimer) advanceRosterWriter() {
	if c.writer.id != "" || !c.roster.started || !c.pausedAt.IsZero() || c.closing.expelled {
		return
	}
	record := c.wantedRecord()
	if record == nil {
		return
	}
	id := c.nextID()
	c.writer.id, c.writer.record, c.writer.endedAt = id, record, time.Time{}
	switch record.(type) {
	case Join, Renew:
		c.lease.sentRenewals[id] = c.now
		c.writer.renewAt = c.now.Add(c.Settings.RenewEvery())
	case Drain, Leave, Yield, Expire, Snapshot, Void:
	}
	c.emit(AppendRoster{ID: id, Record: record})
}

// wantedRecord returns the most urgent record for this host to append, or nil.
func (c *Claimer) wantedRecord() RosterRecord {
	self := c.Self.Incarnation
	member, joined := c.roster.MemberOf(self)
	switch {
	case !joined && slices.Contains(c.roster.Ended, self):
		return nil
	case !joined && c.closing.draining:
		return nil
	case !joined:
		return Join{Member: c.Self}
	case c.closing.draining && !member.Draining:
		return Drain{Incarnation: self}
	case c.mustYield():
		return Yield{Incarnation: self, Epoch: c.roster.Epoch}
	case c.closing.signedOff && c.allRecorded() && !c.mayStillStart() && c.refusalsSettled():
		return Leave{Incarnation: self}
	}
	if expire, ok := c.nextExpire(); ok {
		return expire
	}
	if !c.now.Before(c.writer.renewAt) || c.mustConfirmEpoch(member) {
		return Renew{Incarnation: self, Base: c.roster.LastOffset(), Unrecorded: c.unrecordedCount() > 0}
	}
	if c.roster.appliedSinceSnapshot >= c.Settings.SnapshotEvery && c.roster.Members[0].Incarnation == self {
		return Snapshot{Base: c.roster.LastOffset(), State: c.roster.state()}
	}
	return nil
}

const (
	// confirmAfter lets one renewal confirm several changes of the roster.
	confirmAfter = 500 * time.Millisecond
	// confirmSpread keeps the members of a large roster from renewing at once.
	confirmSpread = 30 * time.Millisecond
)

// confirmDelay returns how long after a change of the roster this host renews.
func (c *Claimer) confirmDelay() time.Duration {
	return confirmAfter + time.Duration(max(c.roster.index(c.Self.Incarnation), 0))*confirmSpread
}

// mustConfirmEpoch reports whether the last renewal is based on an older epoch, so that a takeover of this host would not count as clean.
func (c *Claimer) mustConfirmEpoch(member RosterMember) bool {
	return member.RenewBase < c.roster.Epoch && !c.now.Before(c.writer.confirmAt)
}

// mustYield reports whether ranges must be handed over and every claim in them is on the log.
func (c *Claimer) mustYield() bool {
	pending := false
	for i := range c.roster.Ranges {
		if !c.mustHandOver(RangeID(i)) {
			continue
		}
		if c.group.hasPending(RangeID(i)) {
			return false
		}
		pending = true
	}
	return pending
}

func (c *Claimer) mustHandOver(id RangeID) bool {
	s := c.roster.Ranges[id]
	return s.Holder == c.Self.Incarnation && s.Target != s.Holder
}

// refusalsSettled reports whether new holders no longer need this host to identify the requests that it has refused.
func (c *Claimer) refusalsSettled() bool {
	const bothHosts = 2
	return c.now.Sub(c.closing.yieldedAt) >= bothHosts*c.Settings.ArrivalError
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

func (c *Claimer) processRemoval(id dotterelpulley.Incarnation) {
	c.suspects.drop(id)
	c.witness.forget(id)
	if id != c.Self.Incarnation || c.closing.removalReported {
		return
	}
	c.closing.removalReported = true
	if c.closing.signedOff {
		c.emit(SignedOff{})
		return
	}
	c.closing.expelled = true
	c.emit(Expelled{})
}

func (c *Claimer) requestRosterRead() {
	c.writer.lastRead = c.now
	c.emit(ReadRoster{From: c.roster.NextOffset()})
}

// advanceReads repeats the reads whose results are still needed.
func (c *Claimer) advanceReads() {
	rosterNeeded := !c.roster.started || !c.pausedAt.IsZero() || c.writer.id != "" || slices.ContainsFunc(c.held, c.mustReadRoster)
	if rosterNeeded && c.now.Sub(c.writer.lastRead) >= rereadInterval {
		c.requestRosterRead()
	}
	claimsNeeded := len(c.acquired) > 0 || c.group.awaitsRead()
	if claimsNeeded && c.now.Sub(c.writer.lastClaimsRead) >= rereadInterval {
		c.writer.lastClaimsRead = c.now
		c.emit(ReadClaims{From: c.NextClaimsOffset()})
	}
}
