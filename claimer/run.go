package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type runState int

const (
	runBegun runState = iota
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
	// asked is when the claim was requested.
	asked time.Time
	// grouped reports that the claim has been added to the group for an append.
	grouped    bool
	recorded   bool
	fromMemory bool
	outcome    Outcome
	ended      time.Time
	refusal    dotterelpulley.ErrorKind
	retryAfter time.Duration
	forgotten  bool
}

// hopLimit is the maximum number of hosts that a request may pass through.
const hopLimit = 4

func (c *Claimer) hold(b Submit) {
	if len(b.Visited) == 0 {
		b.Arrived = c.pause.arrival(b.Arrived, c.now)
	}
	c.held = append(c.held, heldBegin{Submit: b, since: c.now})
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
func (c *Claimer) decide(h heldBegin) bool {
	hash := HashKey(h.Key)
	if r, ok := c.runs[h.Key]; ok && c.decideKnown(h, r) {
		return true
	}
	if issuer, ok := IssuedBy(h.Key.Idempotency); ok {
		c.decideIssued(h, issuer)
		return true
	}
	born, hasBirth := c.birth(h.Key)
	if hasBirth && c.now.Sub(born) > c.Settings.KeyLifetime {
		c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorKeyExpired})
		return true
	}
	holder := c.roster.Ranges[hash.Range()].Holder
	if holder != c.Self.Incarnation && c.forward(h, holder) {
		return true
	}
	if !c.holds(hash.Range()) {
		return c.giveUp(h)
	}
	if claimant, ok := c.index.claimant(hash); ok {
		c.decideClaimed(h, claimant)
		return true
	}
	s := c.roster.Ranges[hash.Range()]
	if c.mayHaveBeenRefused(h, s) {
		if !c.forward(h, s.Previous) {
			c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
		}
		return true
	}
	if c.now.Before(s.UncertainUntil) && (!hasBirth || born.Before(s.UncertainBefore)) {
		c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		return true
	}
	c.proceed(h, &run{Submit: h.Submit, hash: hash})
	return true
}

// mayHaveBeenRefused reports whether an earlier holder may have answered "not run" to the caller without this host knowing.
func (c *Claimer) mayHaveBeenRefused(h heldBegin, s RangeState) bool {
	if c.now.Sub(h.Arrived) > c.Settings.KeyLifetime {
		return true
	}
	taken, ok := c.taken[HashKey(h.Key).Range()]
	if !ok || h.Arrived.After(taken.Add(c.Settings.ArrivalError)) {
		return false
	}
	previous, ok := c.roster.MemberOf(s.Previous)
	return !ok || !slices.Contains(h.Visited, previous.Host)
}

func (c *Claimer) proceed(h heldBegin, r *run) {
	c.runs[h.Key] = r
	c.tickets[h.Ticket] = r
	c.do(Enqueue{Ticket: h.Ticket})
}

// birth returns a key's creation time unless it lies in the future.
func (c *Claimer) birth(key dotterelpulley.Key) (time.Time, bool) {
	born, ok := CreationTime(key.Idempotency)
	return born, ok && born.Before(c.now.Add(c.Settings.ClockError))
}

// decideKnown handles a key that this host knows; a request that arrives after the refusal of an earlier one counts as new.
func (c *Claimer) decideKnown(h heldBegin, r *run) bool {
	if r.Fingerprint != h.Fingerprint {
		c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorKeyReused})
		return true
	}
	switch r.state {
	case runBegun, runClaiming, runGranted, runStarted:
		c.do(Attach{Ticket: h.Ticket, Run: r.Ticket})
		return true
	case runEnded:
		if r.outcome == OutcomeAnswered && !r.forgotten {
			c.do(Attach{Ticket: h.Ticket, Run: r.Ticket})
		} else {
			c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		}
		return true
	case runRefused:
		if h.Arrived.After(r.ended.Add(c.Settings.ArrivalError)) {
			return false
		}
		kind := r.refusal
		if !r.issued && !c.holds(r.hash.Range()) {
			kind = dotterelpulley.ErrorHolderUnreachable
		}
		r.ended = c.now
		c.do(Refuse{Ticket: h.Ticket, Kind: kind, RetryAfter: r.retryAfter})
		return true
	}
	return false
}

// decideIssued handles a key that only its issuer may run.
func (c *Claimer) decideIssued(h heldBegin, issuer dotterelpulley.Incarnation) {
	if issuer != c.Self.Incarnation {
		if !c.forward(h, issuer) {
			c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		}
		return
	}
	if !h.Issued {
		c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
		return
	}
	c.proceed(h, &run{Submit: h.Submit, hash: HashKey(h.Key), issued: true})
}

// decideClaimed handles a key that an incarnation has claimed on the log.
func (c *Claimer) decideClaimed(h heldBegin, claimant dotterelpulley.Incarnation) {
	if claimant != c.Self.Incarnation && c.forward(h, claimant) {
		return
	}
	c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorOutcomeUnknown})
}

func (c *Claimer) forward(h heldBegin, to dotterelpulley.Incarnation) bool {
	m, ok := c.roster.MemberOf(to)
	if !ok {
		return false
	}
	if len(h.Visited) >= hopLimit {
		c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
		return true
	}
	c.do(Forward{Ticket: h.Ticket, To: m.Member, Arrived: h.Arrived})
	return true
}

// giveUp refuses a request whose range has not become ready in time.
func (c *Claimer) giveUp(h heldBegin) bool {
	if c.now.Sub(h.since) < c.Settings.HoldLimit {
		return false
	}
	c.do(Refuse{Ticket: h.Ticket, Kind: dotterelpulley.ErrorHolderUnreachable})
	return true
}
