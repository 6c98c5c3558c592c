package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

func (c *Claimer) claim(ticket Ticket) {
	r, ok := c.tickets[ticket]
	if !ok || r.state != runSubmitted {
		return
	}
	r.claimedAt = c.now
	r.state = runClaiming
	c.claiming = append(c.claiming, r)
	if r.issued {
		c.grant(r)
	}
}

// advanceClaims advances each request that is waiting for its claim.
func (c *Claimer) advanceClaims() {
	claiming := c.claiming
	c.claiming = nil
	for _, r := range claiming {
		if r.state == runClaiming {
			c.advanceClaim(r)
		}
		if r.state == runClaiming {
			c.claiming = append(c.claiming, r)
		}
	}
}

func (c *Claimer) advanceClaim(r *run) {
	isHolder := c.roster.Ranges[r.hash.Range()].Holder == c.Self.Incarnation && c.isMember()
	switch {
	case !r.grouped && !isHolder:
		c.holderChanged(r)
	case !r.grouped && c.holds(r.hash.Range()):
		r.grouped = true
		c.group.add(r)
	case !r.grouped && c.claimWait(r) > c.Settings.HoldLimit:
		c.refuse(r, dotterelpulley.ErrorHolderUnreachable, 0)
	case !r.grouped:
	case !isHolder:
		c.refuse(r, dotterelpulley.ErrorHolderUnreachable, 0)
	case r.recorded && c.mayDispatch():
		c.grant(r)
	case c.mayGrantFromMemory(r):
		r.fromMemory = true
		c.grant(r)
	case c.claimWait(r) > c.Settings.Patience[r.Kind]+c.Settings.HoldLimit:
		c.refuse(r, dotterelpulley.ErrorNotReady, 0)
	}
}

func (c *Claimer) claimWait(r *run) time.Duration {
	return c.now.Sub(r.claimedAt)
}

func (c *Claimer) mayGrantFromMemory(r *run) bool {
	patience := c.Settings.Patience[r.Kind]
	appendOverdue := !c.group.unrecordedSince.IsZero() && c.now.Sub(c.group.unrecordedSince) >= patience
	if !appendOverdue && c.claimWait(r) < patience {
		return false
	}
	return c.holds(r.hash.Range()) && c.mayGrantUnrecorded()
}

func (c *Claimer) grant(r *run) {
	r.state = runGranted
	c.emit(Grant{Ticket: r.Ticket})
}

// holderChanged drops the request, which the driver submits again.
func (c *Claimer) holderChanged(r *run) {
	delete(c.runs, r.Key)
	delete(c.tickets, r.Ticket)
	r.state = runRefused
	c.emit(HolderChanged{Ticket: r.Ticket})
}

// refuse ends a request that was not started; it reports "not run" only while no other host can have run it.
func (c *Claimer) refuse(r *run, kind dotterelpulley.ErrorKind, retryAfter time.Duration) {
	if kind.Answer().Truth == dotterelpulley.NotRun && !r.issued && !c.holds(r.hash.Range()) {
		kind = dotterelpulley.ErrorHolderUnreachable
	}
	if r.grouped {
		c.group.release(r)
	}
	r.state = runRefused
	r.endedAt = c.now
	r.refusal = kind
	r.retryAfter = retryAfter
	c.emit(Refuse{Ticket: r.Ticket, Kind: kind, RetryAfter: retryAfter})
}

func (c *Claimer) end(e RequestEnded) {
	r, ok := c.tickets[e.Ticket]
	if !ok || r.state == runEnded || r.state == runRefused {
		return
	}
	if e.Outcome == OutcomeNotStarted {
		c.refuse(r, e.Kind, e.RetryAfter)
		return
	}
	r.state = runEnded
	r.outcome = e.Outcome
	r.endedAt = c.now
}

const pruneInterval = time.Second

// pruneExpired drops claims and requests that are older than the key lifetime.
func (c *Claimer) pruneExpired() {
	if c.now.Sub(c.lastPrune) < pruneInterval {
		return
	}
	c.lastPrune = c.now
	const bothClocks = 2
	retention := c.Settings.KeyLifetime + bothClocks*c.Settings.ClockError
	c.index.prune(c.now.Add(-retention))
	for ticket, r := range c.tickets {
		if r.endedAt.IsZero() {
			continue
		}
		age := c.now.Sub(r.endedAt)
		if age > c.Settings.Linger && !r.discarded {
			r.discarded = true
			c.emit(DiscardAnswer{Ticket: ticket})
		}
		if age <= retention {
			continue
		}
		delete(c.tickets, ticket)
		if c.runs[r.Key] == r {
			delete(c.runs, r.Key)
		}
	}
}
