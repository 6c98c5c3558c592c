package recorder

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// moveRetention is how long an ended move is kept after its deadline.
const moveRetention = 7 * 24 * time.Hour

// FinalShare is the share of a move's last step; the old version keeps the rest for comparison until the move is done.
const FinalShare = 0.95

// ClockTolerance is the largest tolerated difference between a host's clock and the log's clock.
const ClockTolerance = 2 * time.Second

// Lease is the exclusive right of one host to advance moves.
type Lease struct {
	Holder   dotterelpulley.HostID
	Duration time.Duration
	// Fence is the offset of the claim; it is the fencing token of every order and step.
	Fence appender.Offset
	// LastRenewal is the offset of the latest renewal, or of the claim before the first one.
	LastRenewal appender.Offset
	Released    bool
}

// MoveID identifies the move of one service by one release note.
type MoveID struct {
	Note    dotterelpulley.NoteID
	Service dotterelpulley.ServiceID
}

// String returns the id as "note/service".
func (id MoveID) String() string {
	return string(id.Note) + "/" + string(id.Service)
}

// Phase is the progress of a move.
type Phase int

// The phases of a move.
const (
	PhaseRunning Phase = iota
	PhaseDone
	PhaseUndone
)

var phaseNames = [...]string{"running", "done", "undone"}

// String returns the phase's name.
func (p Phase) String() string {
	return phaseNames[p]
}

// Move is the state of one move.
type Move struct {
	ID       MoveID
	Action   dotterelpulley.ChangeAction
	From     dotterelpulley.Build
	To       dotterelpulley.Build
	Deadline time.Time
	// CanaryShare is the highest share allowed for step 1.
	CanaryShare     float64
	ObservationTime time.Duration
	Phase           Phase
	// Number is the number of the newest step; 0 while the version is being loaded.
	Number int
	Share  float64
	// Since is when the log appended the newest step, or the opening or outcome.
	Since  time.Time
	Bad    bool
	Reason string
	Opened appender.Offset
	Ended  appender.Offset
}

// Running reports whether the move has not ended.
func (m Move) Running() bool {
	return m.Phase == PhaseRunning
}

// Expired reports whether the move's deadline has passed by more than ClockTolerance.
func (m Move) Expired(now time.Time) bool {
	return now.After(m.Deadline.Add(ClockTolerance))
}

// MovesState is the state that results from applying the moves stream's records in order.
type MovesState struct {
	Lease Lease
	Moves []Move
	// InForce is the build of each service whose build a completed move has changed.
	InForce map[dotterelpulley.ServiceID]dotterelpulley.Build
}

// Move returns the move with the given id.
func (s *MovesState) Move(id MoveID) (Move, bool) {
	for _, m := range s.Moves {
		if m.ID == id {
			return m, true
		}
	}
	return Move{}, false
}

// Running returns the service's running move, if any.
func (s *MovesState) Running(service dotterelpulley.ServiceID) (Move, bool) {
	for _, m := range s.Moves {
		if m.ID.Service == service && m.Running() {
			return m, true
		}
	}
	return Move{}, false
}

// Apply applies the next record of the stream and returns the verdict on it.
func (s *MovesState) Apply(at Position, env Envelope) Verdict {
	s.dropOldMoves(at.Appended)
	switch body := env.Body.(type) {
	case Claim:
		return s.applyClaim(at, env, body)
	case Renewal:
		if v, stale := s.checkFence(at, env, body.Fence); stale {
			return v
		}
		s.Lease.LastRenewal = at.Offset
		return accepted(at, env)
	case Release:
		if v, stale := s.checkFence(at, env, body.Fence); stale {
			return v
		}
		s.Lease.Released = true
		return accepted(at, env)
	case Opening:
		return s.applyOpening(at, env, body)
	case Step:
		return s.applyStep(at, env, body)
	case Outcome:
		return s.applyOutcome(at, env, body)
	case BadVersion:
		return s.applyBadVersion(at, env, body)
	case MovesSnapshot:
		return s.applySnapshot(at, env, body)
	case Delta, Note, ConfigurationSnapshot:
		return refused(at, env, "the record does not belong on the moves stream")
	}
	return refused(at, env, "the record has no body")
}

func (s *MovesState) applySnapshot(at Position, env Envelope, snapshot MovesSnapshot) Verdict {
	if at.Offset != snapshot.Through+1 {
		return refused(at, env, "the snapshot ends at offset %d", snapshot.Through)
	}
	if !equalBodies(snapshot, MovesSnapshot{Through: snapshot.Through, State: *s}) {
		return refused(at, env, "the snapshot differs from the fold")
	}
	return accepted(at, env)
}

func (s *MovesState) applyClaim(at Position, env Envelope, claim Claim) Verdict {
	if claim.PreviousFence != s.Lease.Fence {
		return refused(at, env, "the claim follows fence %d, but fence %d was newest", claim.PreviousFence, s.Lease.Fence)
	}
	s.Lease = Lease{Holder: claim.Holder, Duration: claim.Duration, Fence: at.Offset, LastRenewal: at.Offset}
	return accepted(at, env)
}

// checkFence returns a refusal if the fence is stale or its lease was released.
func (s *MovesState) checkFence(at Position, env Envelope, fence appender.Offset) (Verdict, bool) {
	if fence != s.Lease.Fence {
		return refused(at, env, "fence %d is not the newest, %d", fence, s.Lease.Fence), true
	}
	if s.Lease.Released {
		return refused(at, env, "the lease of fence %d was released", fence), true
	}
	return Verdict{}, false
}

func (s *MovesState) applyOpening(at Position, env Envelope, o Opening) Verdict {
	if v, stale := s.checkFence(at, env, o.Fence); stale {
		return v
	}
	if _, known := s.Move(o.Move); known {
		return refused(at, env, "move %s was opened before", o.Move)
	}
	if other, running := s.Running(o.Move.Service); running {
		return refused(at, env, "move %s is running", other.ID)
	}
	s.Moves = append(slices.Clone(s.Moves), Move{
		ID: o.Move, Action: o.Action, From: o.From, To: o.To, Deadline: o.Deadline,
		CanaryShare: o.CanaryShare, ObservationTime: o.ObservationTime, Since: at.Appended, Opened: at.Offset,
	})
	return accepted(at, env)
}

func (s *MovesState) applyStep(at Position, env Envelope, step Step) Verdict {
	if v, stale := s.checkFence(at, env, step.Fence); stale {
		return v
	}
	m, known := s.Move(step.Move)
	switch {
	case !known || !m.Running():
		return refused(at, env, "move %s is not running", step.Move)
	case m.Bad:
		return refused(at, env, "move %s has a bad version", step.Move)
	case step.Number != m.Number+1:
		return refused(at, env, "step %d of move %s does not follow step %d", step.Number, step.Move, m.Number)
	case step.Share < 0 || step.Share > 1 || step.Number == 1 && step.Share > m.CanaryShare:
		return refused(at, env, "share %g of move %s is not allowed", step.Share, step.Move)
	case at.Appended.After(m.Deadline):
		return refused(at, env, "the deadline of move %s has passed", step.Move)
	}
	m.Number, m.Share, m.Since, m.Reason = step.Number, step.Share, at.Appended, step.Reason
	s.updateMove(m)
	return accepted(at, env)
}

func (s *MovesState) applyOutcome(at Position, env Envelope, o Outcome) Verdict {
	if v, stale := s.checkFence(at, env, o.Fence); stale {
		return v
	}
	m, known := s.Move(o.Move)
	if !known || !m.Running() {
		return refused(at, env, "move %s is not running", o.Move)
	}
	if o.Done {
		if reason := whyNotDone(m, at); reason != "" {
			return refused(at, env, "move %s: %s", o.Move, reason)
		}
		m.Phase = PhaseDone
		if m.Action == dotterelpulley.ChangeReplace {
			m.Share = 1
			s.setInForce(m)
		}
	} else {
		m.Phase, m.Share = PhaseUndone, 0
	}
	m.Reason, m.Ended, m.Since = o.Reason, at.Offset, at.Appended
	s.updateMove(m)
	return accepted(at, env)
}

// whyNotDone returns why the move cannot be recorded as done, or "".
func whyNotDone(m Move, at Position) string {
	switch {
	case m.Bad:
		return "its version is bad"
	case at.Appended.After(m.Deadline):
		return "its deadline has passed"
	case m.Action == dotterelpulley.ChangeReplace && m.Share < FinalShare:
		return "its version has not had the last share"
	}
	return ""
}

func (s *MovesState) applyBadVersion(at Position, env Envelope, b BadVersion) Verdict {
	m, known := s.Move(b.Move)
	if !known || !m.Running() {
		return refused(at, env, "move %s is not running", b.Move)
	}
	if m.Bad {
		return refused(at, env, "move %s is known to be bad", b.Move)
	}
	m.Bad, m.Share, m.Reason = true, 0, b.Reason
	s.updateMove(m)
	return accepted(at, env)
}

func (s *MovesState) updateMove(m Move) {
	s.Moves = slices.Clone(s.Moves)
	for i := range s.Moves {
		if s.Moves[i].ID == m.ID {
			s.Moves[i] = m
		}
	}
}

func (s *MovesState) setInForce(m Move) {
	next := make(map[dotterelpulley.ServiceID]dotterelpulley.Build, len(s.InForce)+1)
	for service, build := range s.InForce {
		next[service] = build
	}
	next[m.ID.Service] = m.To
	s.InForce = next
}

func (s *MovesState) dropOldMoves(now time.Time) {
	outdated := func(m Move) bool {
		return !m.Running() && now.Sub(m.Deadline) > moveRetention
	}
	if slices.ContainsFunc(s.Moves, outdated) {
		s.Moves = slices.DeleteFunc(slices.Clone(s.Moves), outdated)
	}
}
