package entry

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// busyTickLimit exceeds the tick delay of a claimer with pending work; a claimer with a longer delay is idle, and the
// ticker is not notified.
const busyTickLimit = 50 * time.Millisecond

// signOffTimeout limits the wait for the leave record to appear on the log.
const signOffTimeout = 3 * time.Second

// claims keeps this host on the roster; after an expulsion it joins again as a new incarnation.
type claims struct {
	entry *Entry
	clock clock

	mu      sync.Mutex
	current *session
}

// clock advances at least as fast as both the wall clock and the monotonic clock, so that the lease of a host that
// was suspended expires in time.
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
	claims    *claims
	entry     *Entry
	done      chan struct{}
	signedOff chan struct{}

	mu          sync.Mutex
	core        claimer.Claimer
	ticket      claimer.Ticket
	pending     map[claimer.Ticket]*pendingRequest
	runs        map[claimer.Ticket]*run
	activeReads map[string]bool
	// rescheduled notifies the ticker that the claimer's next tick may be due earlier.
	rescheduled chan struct{}
}

// pendingRequest is a request that waits for the claimer's decision.
type pendingRequest struct {
	request  dotterelpulley.Request
	decision chan decision
}

// decision is the claimer's decision on a request: exactly one of its fields is set.
type decision struct {
	run     *run
	forward *claimer.Forward
	refusal *dotterelpulley.Refusal
}

// claimDecision is the claimer's decision on a claim: granted if it is zero, otherwise moved or refused.
type claimDecision struct {
	moved   bool
	refusal *dotterelpulley.Refusal
}

// session returns the current incarnation.
func (c *claims) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// join starts a new incarnation.
func (c *claims) join() {
	e := c.entry
	incarnation := string(e.settings.Host) + "-" + uuid.NewString()
	s := &session{
		claims:      c,
		entry:       e,
		done:        make(chan struct{}),
		signedOff:   make(chan struct{}),
		pending:     map[claimer.Ticket]*pendingRequest{},
		runs:        map[claimer.Ticket]*run{},
		activeReads: map[string]bool{},
		rescheduled: make(chan struct{}, 1),
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
	e.tasks.Go(s.runTicks)
	e.tasks.Go(s.followRoster)
	e.tasks.Go(s.followClaims)
	e.tasks.Go(s.fetchRoster)
}

// runTicks sends the claimer a tick whenever one is due.
func (s *session) runTicks() {
	s.step(claimer.Tick{})
	for {
		s.mu.Lock()
		wait := s.core.NextTick().Sub(s.claims.clock.now())
		s.mu.Unlock()
		select {
		case <-time.After(wait):
			s.step(claimer.Tick{})
		case <-s.rescheduled:
		case <-s.done:
			return
		case <-s.entry.ctx.Done():
			return
		}
	}
}

// step passes one event to the claimer and performs the resulting actions.
func (s *session) step(event claimer.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(event)
}

func (s *session) stepLocked(event claimer.Event) {
	now := s.claims.clock.now()
	for _, action := range s.core.Step(now, event) {
		s.perform(action)
	}
	if _, tick := event.(claimer.Tick); tick || s.core.NextTick().Sub(now) > busyTickLimit {
		return
	}
	select {
	case s.rescheduled <- struct{}{}:
	default:
	}
}

// begin submits the request to the claimer and waits for the decision.
func (s *session) begin(req dotterelpulley.Request, event claimer.Submit) decision {
	pending := &pendingRequest{request: req, decision: make(chan decision, 1)}
	s.mu.Lock()
	s.ticket++
	event.Ticket = s.ticket
	event.Key = req.Key
	event.Kind = req.Kind
	event.Fingerprint = claimer.FingerprintOf(req)
	event.Arrived = req.Arrived
	s.pending[event.Ticket] = pending
	s.stepLocked(event)
	s.mu.Unlock()
	select {
	case d := <-pending.decision:
		return d
	case <-s.done:
	case <-s.entry.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, event.Ticket)
	select {
	case d := <-pending.decision:
		return d
	default:
	}
	return decision{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host is joining the roster again")}
}

// issueKey returns a new key whose requests only this incarnation may run.
func (s *session) issueKey() (dotterelpulley.IdempotencyKey, error) {
	unique, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	return claimer.IssueKey(s.core.Self.Incarnation, unique), nil
}

// claimRun requests the claim that allows the run to be dispatched and waits for the decision.
func (s *session) claimRun(r *run) claimDecision {
	s.step(claimer.Claim{Ticket: r.ticket})
	select {
	case d := <-r.claim:
		return d
	case <-s.done:
	case <-s.entry.ctx.Done():
	}
	return claimDecision{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host has left the roster")}
}

// mayStart reports whether the first byte of the run's request may be sent now.
func (s *session) mayStart(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.MayStart(s.claims.clock.now(), r.ticket)
}

// ready reports whether this host knows the holder of each range.
func (s *session) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Ready()
}

// answer returns the reply to another host's question.
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

// drainingHosts maps the hosts on the roster to whether they are draining.
func (s *session) drainingHosts() map[dotterelpulley.HostID]bool {
	hosts := map[dotterelpulley.HostID]bool{}
	for _, m := range s.roster().Members {
		hosts[m.Host] = m.Draining
	}
	return hosts
}

// setListedHosts passes the entry hosts of the host list to the claimer.
func (c *claims) setListedHosts(hosts []lister.Host) {
	var ids []dotterelpulley.HostID
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	c.session().step(claimer.HostsListed{Hosts: ids})
}

// signedOff reports whether this host's leave record is on the log.
func (c *claims) signedOff() bool {
	select {
	case <-c.session().signedOff:
		return true
	default:
		return false
	}
}
