package entry

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// busyTick is the longest wait of a claimer that has work under way.
const busyTick = 50 * time.Millisecond

// signOffLimit bounds the wait for the leave record.
const signOffLimit = 3 * time.Second

// claims joins this host to the roster, as one incarnation after another.
type claims struct {
	entry *Entry
	clock clock

	mu      sync.Mutex
	current *session
}

// clock goes at least as fast as the wall and as the monotonic clock, so that a suspended host's lease ends in time.
type clock struct {
	mu      sync.Mutex
	start   time.Time
	elapsed time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.start.IsZero() {
		c.start = now
	}
	wall := now.Round(0).Sub(c.start.Round(0))
	c.elapsed = max(c.elapsed, now.Sub(c.start), wall)
	return c.start.Add(c.elapsed)
}

// session is one incarnation of this host on the roster.
type session struct {
	claims *claims
	entry  *Entry
	done   chan struct{}
	left   chan struct{}

	mu      sync.Mutex
	core    claimer.Claimer
	ticket  claimer.Ticket
	begun   map[claimer.Ticket]*begun
	runs    map[claimer.Ticket]*run
	reading map[string]bool
	// sooner tells the ticker that the claimer wants the time earlier than it did.
	sooner chan struct{}
}

// begun is a request that waits for the claimer's word.
type begun struct {
	request dotterelpulley.Request
	verdict chan verdict
}

// verdict is the claimer's word on a request: exactly one of its fields is set.
type verdict struct {
	run     *run
	forward *claimer.Forward
	refusal *dotterelpulley.Refusal
}

// claimVerdict is the claimer's word on a claim: granted, moved or refused.
type claimVerdict struct {
	moved   bool
	refusal *dotterelpulley.Refusal
}

// session returns the current incarnation.
func (c *claims) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// join begins a new incarnation.
func (c *claims) join() {
	e := c.entry
	incarnation := string(e.settings.Host) + "-" + uuid.NewString()
	s := &session{
		claims:  c,
		entry:   e,
		done:    make(chan struct{}),
		left:    make(chan struct{}),
		begun:   map[claimer.Ticket]*begun{},
		runs:    map[claimer.Ticket]*run{},
		reading: map[string]bool{},
		sooner:  make(chan struct{}, 1),
	}
	s.core.Self = claimer.Member{
		Host:        e.settings.Host,
		Incarnation: dotterelpulley.Incarnation(incarnation),
		Peer:        e.settings.PeerAddress,
	}
	s.core.Settings = e.settings.Claims
	s.core.Settings.Linger = e.settings.Timeouts.Linger
	c.mu.Lock()
	c.current = s
	c.mu.Unlock()
	e.wait.Go(s.tick)
	e.wait.Go(s.followRoster)
	e.wait.Go(s.followClaims)
	e.wait.Go(s.learnRoster)
}

// tick tells the claimer the time whenever it wants to know it.
func (s *session) tick() {
	s.step(claimer.Tick{})
	for {
		s.mu.Lock()
		wait := s.core.NextTick().Sub(s.claims.clock.now())
		s.mu.Unlock()
		select {
		case <-time.After(wait):
			s.step(claimer.Tick{})
		case <-s.sooner:
		case <-s.done:
			return
		case <-s.entry.ctx.Done():
			return
		}
	}
}

// step gives the claimer one event and does what it wants done.
func (s *session) step(event claimer.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(event)
}

func (s *session) stepLocked(event claimer.Event) {
	now := s.claims.clock.now()
	for _, action := range s.core.Step(now, event) {
		s.act(action)
	}
	if _, tick := event.(claimer.Tick); tick || s.core.NextTick().Sub(now) > busyTick {
		return
	}
	select {
	case s.sooner <- struct{}{}:
	default:
	}
}

// begin asks what to do with the request; issued says that this host has just made its key.
func (s *session) begin(req dotterelpulley.Request, b claimer.Submit) verdict {
	wait := &begun{request: req, verdict: make(chan verdict, 1)}
	s.mu.Lock()
	s.ticket++
	b.Ticket = s.ticket
	b.Key = req.Key
	b.Kind = req.Kind
	b.Fingerprint = claimer.FingerprintOf(req)
	b.Arrived = req.Arrived
	s.begun[b.Ticket] = wait
	s.stepLocked(b)
	s.mu.Unlock()
	select {
	case v := <-wait.verdict:
		return v
	case <-s.done:
	case <-s.entry.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.begun, b.Ticket)
	select {
	case v := <-wait.verdict:
		return v
	default:
	}
	return verdict{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host is joining the roster again")}
}

// issue returns a key that only this incarnation may run.
func (s *session) issue() (dotterelpulley.IdempotencyKey, error) {
	unique, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return claimer.IssueKey(s.core.Self.Incarnation, unique), nil
}

// claimRun asks for the right to dispatch the run and waits for the answer.
func (s *session) claimRun(r *run) claimVerdict {
	s.step(claimer.Claim{Ticket: r.ticket})
	select {
	case v := <-r.claim:
		return v
	case <-s.done:
	case <-s.entry.ctx.Done():
	}
	return claimVerdict{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host has left the roster")}
}

// mayStart reports whether the run's first byte may leave now.
func (s *session) mayStart(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.MayStart(s.claims.clock.now(), r.ticket)
}

// ready reports whether this host knows who holds each range.
func (s *session) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Ready()
}

// answer replies to another host's question.
func (s *session) answer(q claimer.Question) claimer.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Answer(s.claims.clock.now(), q)
}

// roster returns the roster as this host knows it.
func (s *session) roster() claimer.RosterState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Roster()
}

// draining returns the hosts that the roster shows to be leaving.
func (s *session) draining() map[dotterelpulley.HostID]bool {
	hosts := map[dotterelpulley.HostID]bool{}
	for _, m := range s.roster().Members {
		hosts[m.Host] = m.Draining
	}
	return hosts
}

// listHosts tells the claimer which entry hosts the host list shows.
func (c *claims) listHosts(hosts []lister.Host) {
	var ids []dotterelpulley.HostID
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	c.session().step(claimer.HostsListed{Hosts: ids})
}

// signedOff reports whether this host's leave record stands on the log.
func (c *claims) signedOff() bool {
	select {
	case <-c.session().left:
		return true
	default:
		return false
	}
}
