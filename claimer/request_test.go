package claimer_test

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// receive takes a copy of a request at a node; reply is called at most once.
func (n *node) receive(submit claimer.Submit, reply func(answer)) {
	n.whenRunning(func() {
		n.ticket++
		submit.Ticket = n.ticket
		if submit.Arrived.IsZero() {
			submit.Arrived = n.clock()
		}
		n.requests[submit.Ticket] = &requestCopy{submit: submit, core: n.core, reply: reply}
		if n.w.naive {
			n.enqueue(n.core, submit.Ticket)
			return
		}
		n.step(n.core, submit)
	})
}

// enqueue simulates the admission queue, which refuses some requests.
func (n *node) enqueue(core *claimer.Claimer, t claimer.Ticket) {
	n.w.after(n.w.between(0, 40*time.Millisecond), func() {
		n.whenRunning(func() {
			switch {
			case n.w.profile.faults && n.w.chance(0.15):
				n.notStarted(core, t, dotterelpulley.ErrorShed)
			case n.w.naive:
				n.start(core, t)
			default:
				if c, ok := n.requests[t]; ok {
					c.claimed = n.w.now
				}
				n.step(core, claimer.Claim{Ticket: t})
			}
		})
	})
}

func (n *node) notStarted(core *claimer.Claimer, t claimer.Ticket, kind dotterelpulley.ErrorKind) {
	if n.w.naive {
		n.answer(t, answer{kind: kind})
		return
	}
	n.step(core, claimer.RequestEnded{Ticket: t, Outcome: claimer.OutcomeNotStarted, Kind: kind})
}

func (n *node) dispatch(core *claimer.Claimer, t claimer.Ticket) {
	n.whenRunning(func() {
		if !core.MayStart(n.clock(), t) {
			n.notStarted(core, t, dotterelpulley.ErrorNotReady)
			return
		}
		n.start(core, t)
	})
}

// start runs the request at an endpoint; runs counts what the endpoints have really run.
func (n *node) start(core *claimer.Claimer, t claimer.Ticket) {
	c, ok := n.requests[t]
	if !ok {
		return
	}
	n.w.runs[c.submit.Key]++
	n.w.trace("%s runs %d %s", core.Self.Incarnation, t, c.submit.Key)
	n.w.after(n.w.between(20*time.Millisecond, 1500*time.Millisecond), func() {
		n.whenRunning(func() {
			broken := n.w.profile.faults && n.w.chance(0.05)
			switch {
			case broken && n.w.naive:
				n.start(core, t)
			case broken:
				n.step(core, claimer.RequestEnded{Ticket: t, Outcome: claimer.OutcomeUnfinished})
				n.answer(t, answer{kind: dotterelpulley.ErrorOutcomeUnknown})
			default:
				n.step(core, claimer.RequestEnded{Ticket: t})
				n.answer(t, answer{answered: true})
			}
		})
	})
}

func (n *node) attach(a claimer.Attach) {
	run, ok := n.requests[a.Run]
	if !ok {
		panic("attached to an unknown run")
	}
	if run.answer != nil {
		n.answer(a.Ticket, *run.answer)
		return
	}
	run.attached = append(run.attached, a.Ticket)
}

func (n *node) answer(t claimer.Ticket, a answer) {
	c, ok := n.requests[t]
	if !ok || c.ended {
		return
	}
	c.ended = true
	c.answer = &a
	n.w.trace("%s answers %d %s %v", n.id, t, c.submit.Key, a)
	if c.reply != nil {
		c.reply(a)
	}
	for _, follower := range c.attached {
		n.answer(follower, a)
	}
}

func (n *node) resubmit(t claimer.Ticket) {
	c := n.requests[t]
	for _, ticket := range append(c.attached, t) {
		other := n.requests[ticket]
		other.ended = true
		n.receive(other.submit, other.reply)
	}
}

// forward sends the copy to its holder; without an answer in time the caller gets "holder unreachable".
func (n *node) forward(a claimer.Forward) {
	c := n.requests[a.Ticket]
	submit := c.submit
	submit.Arrived = a.Arrived
	submit.Visited = append(append([]dotterelpulley.HostID(nil), submit.Visited...), n.id)
	peer := n.w.find(a.To)
	n.w.message(func() {
		if peer.alive {
			peer.receive(submit, func(got answer) {
				n.w.message(func() { n.whenRunning(func() { n.answer(a.Ticket, got) }) })
			})
		}
	})
	n.w.after(6*time.Second, func() {
		n.whenRunning(func() { n.answer(a.Ticket, answer{kind: dotterelpulley.ErrorHolderUnreachable}) })
	})
}

func (n *node) stop() {
	n.alive = false
	n.starts++
}

// caller sends one request, and retries it on random hosts until it has an acceptable answer or gives up.
type caller struct {
	w        *world
	key      dotterelpulley.Key
	kind     dotterelpulley.RequestKind
	began    time.Time
	sent     time.Time
	attempts int
	done     bool
	notRun   bool
	last     answer
}

func (w *world) addCaller(i int) {
	c := &caller{w: w, key: w.newKey(i), kind: dotterelpulley.RequestKind(w.rand.IntN(3)), began: w.now}
	w.callers = append(w.callers, c)
	c.send()
}

func (c *caller) send() {
	c.attempts++
	const maxKeyUse = 40 * time.Second
	if c.attempts > 4 || c.w.now.Sub(c.began) > maxKeyUse {
		c.done = true
		return
	}
	c.notRun = false
	c.sent = c.w.now
	n := c.w.nodes[c.w.rand.IntN(len(c.w.nodes))]
	attempt := c.attempts
	submit := claimer.Submit{Key: c.key, Kind: c.kind, Fingerprint: 1}
	c.w.after(time.Millisecond, func() {
		n.receive(submit, func(a answer) {
			c.w.after(time.Millisecond, func() { c.receiveAnswer(attempt, a) })
		})
	})
	patience := c.w.between(200*time.Millisecond, 7*time.Second)
	if !c.w.profile.faults {
		patience = 15 * time.Second
	}
	c.w.after(patience, func() {
		if !c.done && c.attempts == attempt {
			c.retryAfter(c.w.between(0, 5*time.Second))
		}
	})
}

func (c *caller) retryAfter(wait time.Duration) {
	attempt := c.attempts
	c.w.after(wait, func() {
		if !c.done && c.attempts == attempt {
			c.send()
		}
	})
}

// receiveAnswer handles an answer; the caller relies on "not run" and may send the request again.
func (c *caller) receiveAnswer(attempt int, a answer) {
	if c.done || attempt != c.attempts {
		return
	}
	c.last = a
	c.w.trace("caller of %s receives %v", c.key, a)
	if a.answered {
		c.done = true
		return
	}
	if a.kind == dotterelpulley.ErrorHolderUnreachable && c.sent.After(c.w.lastUnserved) {
		c.w.lastUnserved = c.sent
	}
	if a.kind.Answer().Truth != dotterelpulley.NotRun {
		if !c.w.profile.faults || c.w.chance(0.2) {
			c.done = true
			return
		}
		c.retryAfter(c.w.between(0, 10*time.Second))
		return
	}
	c.notRun = true
	if c.w.runs[c.key] > 0 {
		c.w.falseNotRun++
	}
	if c.w.chance(0.5) {
		c.done = true
		return
	}
	c.retryAfter(c.w.between(time.Second, 8*time.Second))
}
