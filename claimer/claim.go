package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

func (c *Claimer) claim(ticket Ticket) {
	r, ok := c.tickets[ticket]
	if !ok || r.state != runBegun {
		return
	}
	r.asked = c.now
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
	mine := c.roster.Ranges[r.hash.Range()].Holder == c.Self.Incarnation && c.isMember()
	switch {
	case !r.grouped && !mine:
		c.moved(r)
	case !r.grouped && c.holds(r.hash.Range()):
		r.grouped = true
		c.group.add(r)
	case !r.grouped && c.waited(r) > c.Settings.HoldLimit:
		c.refuse(r, dotterelpulley.ErrorHolderUnreachable, 0)
	case !r.grouped:
	case !mine:
		c.refuse(r, dotterelpulley.ErrorHolderUnreachable, 0)
	case r.recorded && c.mayDispatch():
		c.grant(r)
	case c.mayGrantFromMemory(r):
		r.fromMemory = true
		c.grant(r)
	case c.waited(r) > c.Settings.Patience[r.Kind]+c.Settings.HoldLimit:
		c.refuse(r, dotterelpulley.ErrorNotReady, 0)
	}
}

func (c *Claimer) waited(r *run) time.Duration {
	return c.now.Sub(r.asked)
}

func (c *Claimer) mayGrantFromMemory(r *run) bool {
	patience := c.Settings.Patience[r.Kind]
	overdue := !c.group.overdue.IsZero() && c.now.Sub(c.group.overdue) >= patience
	if !overdue && c.waited(r) < patience {
		return false
	}
	return c.holds(r.hash.Range()) && c.memoryAllowed()
}

func (c *Claimer) grant(r *run) {
	r.state = runGranted
	c.do(Grant{Ticket: r.Ticket})
}

// moved drops the request, which the driver submits again.
func (c *Claimer) moved(r *run) {
	delete(c.runs, r.Key)
	delete(c.tickets, r.Ticket)
	r.state = runRefused
	c.do(HolderChanged{Ticket: r.Ticket})
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
	r.ended = c.now
	r.refusal = kind
	r.retryAfter = retryAfter
	c.do(Refuse{Ticket: r.Ticket, Kind: kind, RetryAfter: retryAfter})
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
	r.ended = c.now
}

const forgetInterval = time.Second

// forgetOld drops claims and requests that are older than the key lifetime.
func (c *Claimer) forgetOld() {
	if c.now.Sub(c.forgot) < forgetInterval {
		return
	}
	c.forgot = c.now
	const bothClocks = 2
	kept := c.Settings.KeyLifetime + bothClocks*c.Settings.ClockError
	c.index.prune(c.now.Add(-kept))
	for ticket, r := range c.tickets {
		if r.ended.IsZero() {
			continue
		}
		age := c.now.Sub(r.ended)
		if age > c.Settings.Linger && !r.forgotten {
			r.forgotten = true
			c.do(DiscardAnswer{Ticket: ticket})
		}
		if age <= kept {
			continue
		}
		delete(c.tickets, ticket)
		if c.runs[r.Key] == r {
			delete(c.runs, r.Key)
		}
	}
}
