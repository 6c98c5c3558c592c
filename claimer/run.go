package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type runState int

const (
	runSubmitted runState = iota
	runClaiming
	runGranted
	runStarted
	runEnded
	runRefused
)

// run is this host's state of one key.
type run struct {
	Submit
	hash   KeyHash
	issued bool
	state  runState
	// claimedAt is when the claim was requested.
	claimedAt time.Time
	// grouped reports that the claim has been added to the group for an append.
	grouped    bool
	recorded   bool
	fromMemory bool
	outcome    Outcome
	endedAt    time.Time
	refusal    dotterelpulley.ErrorKind
	retryAfter time.Duration
	discarded  bool
}

// hopLimit is the maximum number of hosts that a request may pass through.
const hopLimit = 4

func (c *Claimer) submit(request Submit) {
	if len(request.Visited) == 0 {
		request.Arrived = c.pause.arrival(request.Arrived, c.now)
	}
	h := heldRequest{Submit: request, since: c.now}
	if c.mustReadRoster(h) {
		c.requestRosterRead()
	}
	c.held = append(c.held, h)
}

func (c *Claimer) advanceHeld() {
	if len(c.held) == 0 {
		return
	}
	held := c.held
	c.held = nil
	for _, h := range held {
		if !c.decide(h) {
			c.held = append(c.held, h)
		}
	}
}

// decide handles a submitted request and returns false if it must wait.
func (c *Claimer) decide(h heldRequest) bool {
	hash := HashKey(h.Key)
	if r, ok := c.runs[h.Key]; ok && c.decideKnown(h, r) {
		return true
	}
	if issuer, ok := IssuedBy(h.Key.Idempotency); ok {
		c.decideIssued(h, issuer)
		return true
	}
	created, hasCreated := c.creationTime(h.Key)
	if hasCreated && c.now.Sub(created) > c.Settings.KeyLifetime {
		c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorKeyExpired})
		return true
	}
	if c.mustReadRoster(h) {
		return c.refuseOverdue(h)
	}
	holder := c.roster.Ranges[hash.Range()].Holder
	if holder != c.Self.Incarnation && c.forward(h, holder) {
		return true
	}
	if !c.holds(hash.Range()) {
		return c.refuseOverdue(h)
	}
	if claimant, ok := c.index.claimant(hash); ok {
		c.decideClaimed(h, claimant)
		return true
	}
	s := c.roster.Ranges[hash.Range()]
	if c.mayHaveBeenRefused(h, s) {
		if !c.forward(h, s.Previous) {
			c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
		}
		return true
	}
	if c.now.Before(s.UncertainUntil) && (!hasCreated || created.Before(s.UncertainBefore)) {
		c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		return true
	}
	c.enqueue(h, &run{Submit: h.Submit, hash: hash})
	return true
}

// mustReadRoster reports whether the request has already been at its holder, which may know of a newer one, and this host
// has not read the roster to its end since the request came. Otherwise the two would forward it to each other.
func (c *Claimer) mustReadRoster(h heldRequest) bool {
	if !c.writer.readToEndAt.Before(h.since) {
		return false
	}
	s := c.roster.Ranges[HashKey(h.Key).Range()]
	holder, ok := c.roster.MemberOf(s.Holder)
	if !ok || s.Holder == c.Self.Incarnation || !slices.Contains(h.Visited, holder.Host) {
		return false
	}
	// A new holder asks the previous one whether it has refused the request.
	asked := s.Previous == c.Self.Incarnation && !slices.Contains(h.Visited, c.Self.Host)
	return !asked
}

// mayHaveBeenRefused reports whether an earlier holder may have answered "not run" to the caller without this host knowing.
func (c *Claimer) mayHaveBeenRefused(h heldRequest, s RangeState) bool {
	if c.now.Sub(h.Arrived) > c.Settings.KeyLifetime {
		return true
	}
	receivedAt, ok := c.receivedAt[HashKey(h.Key).Range()]
	if !ok || h.Arrived.After(receivedAt.Add(c.Settings.ArrivalError)) {
		return false
	}
	if len(h.Visited) == 0 {
		return true
	}
	// A host that forwarded the request earlier may have become the holder and refused the key since.
	previous, ok := c.roster.MemberOf(s.Previous)
	return !ok || h.Visited[len(h.Visited)-1] != previous.Host
}

func (c *Claimer) enqueue(h heldRequest, r *run) {
	c.runs[h.Key] = r
	c.tickets[h.Ticket] = r
	c.emit(Enqueue{Ticket: h.Ticket})
}

// creationTime returns a key's creation time unless it lies in the future.
func (c *Claimer) creationTime(key dotterelpulley.Key) (time.Time, bool) {
	created, ok := CreationTime(key.Idempotency)
	return created, ok && created.Before(c.now.Add(c.Settings.ClockError))
}

// decideKnown handles a key that this host knows; a request that arrives after the refusal of an earlier one counts as new.
func (c *Claimer) decideKnown(h heldRequest, r *run) bool {
	if r.Fingerprint != h.Fingerprint {
		c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorKeyReused})
		return true
	}
	switch r.state {
	case runSubmitted, runClaiming, runGranted, runStarted:
		c.emit(Attach{Ticket: h.Ticket, Run: r.Ticket})
		return true
	case runEnded:
		if r.outcome == OutcomeAnswered && !r.discarded {
			c.emit(Attach{Ticket: h.Ticket, Run: r.Ticket})
		} else {
			c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		}
		return true
	case runRefused:
		if h.Arrived.After(r.endedAt.Add(c.Settings.ArrivalError)) {
			return false
		}
		kind := r.refusal
		if !r.issued && !c.holds(r.hash.Range()) {
			kind = dotterelpulley.ErrorHolderUnreachable
		}
		r.endedAt = c.now
		c.emit(Refuse{Ticket: h.Ticket, Kind: kind, RetryAfter: r.retryAfter})
		return true
	}
	return false
}

// decideIssued handles a key that only its issuer may run.
func (c *Claimer) decideIssued(h heldRequest, issuer dotterelpulley.Incarnation) {
	if issuer != c.Self.Incarnation {
		if !c.forward(h, issuer) {
			c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		}
		return
	}
	if !h.Issued {
		c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		return
	}
	c.enqueue(h, &run{Submit: h.Submit, hash: HashKey(h.Key), issued: true})
}

// decideClaimed handles a key that an incarnation has claimed on the log.
func (c *Claimer) decideClaimed(h heldRequest, claimant dotterelpulley.Incarnation) {
	if claimant != c.Self.Incarnation && c.forward(h, claimant) {
		return
	}
	c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
}

func (c *Claimer) forward(h heldRequest, to dotterelpulley.Incarnation) bool {
	m, ok := c.roster.MemberOf(to)
	if !ok {
		return false
	}
	if len(h.Visited) >= hopLimit {
		c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
		return true
	}
	c.emit(Forward{Ticket: h.Ticket, To: m.Member, Arrived: h.Arrived})
	return true
}

// refuseOverdue refuses a request whose range has not become ready in time.
func (c *Claimer) refuseOverdue(h heldRequest) bool {
	if c.now.Sub(h.since) < c.Settings.HoldLimit {
		return false
	}
	c.emit(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
	return true
}
