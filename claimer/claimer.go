package claimer

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Claimer is the decision core of one incarnation; set Self and Settings before the first event.
type Claimer struct {
	Self     Member
	Settings Settings

	now time.Time
	// pausedAt is when the start or the last pause was noticed; zero once the roster has been read to its end after it.
	pausedAt time.Time
	pause    pauseTracker
	actions  []Action
	lastID   int64
	roster   Roster
	index    claimIndex
	witness  witness
	lease    lease
	writer   rosterWriter
	group    group
	memory   memory
	suspects suspects
	// held are the submitted requests that wait for their range to become ready.
	held      []heldRequest
	claiming  []*run
	lastPrune time.Time
	runs      map[dotterelpulley.Key]*run
	tickets   map[Ticket]*run
	// acquired is when this host acquired each range whose earlier claims it has not read yet.
	acquired map[RangeID]time.Time
	// receivedAt is when each range came to this host from another holder.
	receivedAt map[RangeID]time.Time
	closing    closing
}

type closing struct {
	draining        bool
	signedOff       bool
	expelled        bool
	removalReported bool
	// yieldedAt is when this host last handed over ranges.
	yieldedAt time.Time
}

type heldRequest struct {
	Submit
	since time.Time
}

// Step processes one event and returns the actions to carry out.
func (c *Claimer) Step(now time.Time, event Event) []Action {
	c.setTime(now)
	switch e := event.(type) {
	case Tick:
	case RosterRead:
		c.readRoster(e)
		c.suspects.nextCheck = time.Time{}
	case RosterReceived:
		c.roster.adopt(e.Snapshot)
	case ClaimsRead:
		c.readClaims(e)
	case AppendEnded:
		c.endAppend(e)
	case Submit:
		c.submit(e)
	case Claim:
		c.claim(e.Ticket)
	case RequestEnded:
		c.end(e)
	case ReplyReceived:
		c.reply(e.Reply)
		c.suspects.nextCheck = time.Time{}
	case HostsListed:
		c.listHosts(e.Hosts)
	case DrainStarted:
		c.closing.draining = true
	case SignOff:
		c.closing.draining = true
		c.closing.signedOff = true
	}
	c.advance()
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Claimer) setTime(now time.Time) {
	if c.runs == nil {
		c.Settings = c.Settings.WithDefaults()
		c.roster.settings = c.Settings
		c.runs = map[dotterelpulley.Key]*run{}
		c.tickets = map[Ticket]*run{}
		c.acquired = map[RangeID]time.Time{}
		c.receivedAt = map[RangeID]time.Time{}
		c.suspects.reset()
		c.lease.sentRenewals = map[RecordID]time.Time{}
		c.now = now
		c.pausedAt = now
	}
	c.pause.observe(c.now, now.Sub(c.now))
	if now.Sub(c.now) > c.Settings.PauseLimit {
		c.pausedAt = now
		c.emit(ReadRoster{From: c.roster.NextOffset()})
	}
	c.now = now
}

func (c *Claimer) advance() {
	c.advanceMemory()
	c.advanceClaims()
	c.advanceHeld()
	c.advanceGroup()
	c.advanceSuspects()
	c.advanceRosterWriter()
	c.advanceReads()
	c.pruneExpired()
}

func (c *Claimer) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Claimer) nextID() RecordID {
	c.lastID++
	return RecordID(fmt.Sprintf("%s-%d", c.Self.Incarnation, c.lastID))
}

// Answer replies to another member's question.
func (c *Claimer) Answer(now time.Time, q Question) Reply {
	c.setTime(now)
	accepted, unrecorded := c.witness.answer(&c.roster, q)
	return Reply{
		From:       c.Self.Incarnation,
		Question:   q,
		Accepted:   accepted && c.isMember(),
		Unrecorded: unrecorded,
	}
}

// MayStart reports whether the first byte of a granted request may be sent now, and marks the request as started if so;
// it must be called again for a further attempt after proof that the previous one did not start.
func (c *Claimer) MayStart(now time.Time, ticket Ticket) bool {
	c.setTime(now)
	r, ok := c.tickets[ticket]
	if !ok || r.state != runGranted && r.state != runStarted {
		return false
	}
	if !r.issued && !c.mayDispatch() {
		return false
	}
	r.state = runStarted
	return true
}

func (c *Claimer) isMember() bool {
	_, ok := c.roster.MemberOf(c.Self.Incarnation)
	return ok && !c.closing.expelled
}

// mayDispatch reports whether the lease holds and the roster has been read to its end since the last pause.
func (c *Claimer) mayDispatch() bool {
	return c.isMember() && c.pausedAt.IsZero() && c.lease.holds(c.now, c.Settings)
}

// holds reports whether this host may dispatch new keys of the range.
func (c *Claimer) holds(id RangeID) bool {
	state := c.roster.Ranges[id]
	if state.Holder != c.Self.Incarnation || state.Target != c.Self.Incarnation {
		return false
	}
	_, waiting := c.acquired[id]
	return !waiting && c.mayDispatch()
}

// Ready reports whether this host knows the roster, and so can route every key, and is neither draining nor expelled.
func (c *Claimer) Ready() bool {
	return c.roster.started && len(c.roster.Members) > 0 && !c.closing.draining && !c.closing.expelled
}

// Snapshot returns the roster for a host that can't read the log, and whether this host knows it.
func (c *Claimer) Snapshot() (Snapshot, bool) {
	return Snapshot{Base: c.roster.LastOffset(), State: c.roster.state()}, c.roster.started
}

// ReadyRanges returns the number of ranges whose keys this host may dispatch now.
func (c *Claimer) ReadyRanges(now time.Time) int {
	c.setTime(now)
	n := 0
	for i := range RangeCount {
		if c.holds(RangeID(i)) {
			n++
		}
	}
	return n
}

// HasUnrecordedClaims reports whether this host has run claims that the log doesn't show.
func (c *Claimer) HasUnrecordedClaims() bool {
	return c.unrecordedCount() > 0
}

// Roster returns the roster as of the last record read.
func (c *Claimer) Roster() RosterState {
	return c.roster.state()
}

// NextRosterOffset returns the next offset to read on the roster stream.
func (c *Claimer) NextRosterOffset() Offset {
	return c.roster.NextOffset()
}

// NextClaimsOffset returns the next offset to read on the claims stream.
func (c *Claimer) NextClaimsOffset() Offset {
	return max(c.index.next, 1)
}

// NextTick returns the time at which a Tick is due.
func (c *Claimer) NextTick() time.Time {
	const busy, idle = 10 * time.Millisecond, 500 * time.Millisecond
	if len(c.held) > 0 || len(c.group.waiting) > 0 || c.group.inFlight != nil || len(c.group.released) > 0 {
		return c.now.Add(busy)
	}
	return c.now.Add(idle)
}
