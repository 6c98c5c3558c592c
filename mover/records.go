package mover

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// wantedRecord returns the next record to append, and whether there is one.
func (m *Mover) wantedRecord(now time.Time, view *View) (appender.Stream, recorder.Body, bool) {
	if body, due := m.lease.dueRecord(now, view, m.Settings.Host, m.Settings.Lease); due {
		return appender.StreamMoves, body, true
	}
	if !m.lease.active(now, view) {
		return "", nil, false
	}
	running := runningByDeadline(view)
	for _, decide := range []func(time.Time, *View, recorder.Move) recorder.Body{m.endRecord, m.advance} {
		for _, move := range running {
			if body := decide(now, view, move); body != nil {
				return appender.StreamMoves, body, true
			}
		}
	}
	if opening, found := m.nextOpening(now, view); found {
		return appender.StreamMoves, opening, true
	}
	return m.snapshot(now, view)
}

func runningByDeadline(view *View) []recorder.Move {
	var running []recorder.Move
	for _, move := range view.Moves.Moves {
		if move.Running() {
			running = append(running, move)
		}
	}
	slices.SortStableFunc(running, func(a, b recorder.Move) int { return a.Deadline.Compare(b.Deadline) })
	return running
}

// endRecord returns the record that stops or rolls back the move, or nil.
func (m *Mover) endRecord(now time.Time, view *View, move recorder.Move) recorder.Body {
	if move.Bad {
		return m.rollBack(move, "the new version is bad: "+move.Reason)
	}
	if bad, found := m.verdictAgainst(view, move); found {
		return bad
	}
	if reason := m.impossibleReason(view, move); reason != "" {
		return m.rollBack(move, reason)
	}
	if left := move.Deadline.Sub(now); left < m.timeNeeded(now, view, move) {
		return m.rollBack(move, fmt.Sprintf("the deadline cannot be met: %s", m.missingProgress(view, move, left)))
	}
	return nil
}

func (m *Mover) rollBack(move recorder.Move, reason string) recorder.Body {
	return recorder.Outcome{Fence: m.lease.fence, Move: move.ID, Reason: reason}
}

// impossibleReason returns why the move can never complete, or an empty string.
func (m *Mover) impossibleReason(view *View, move recorder.Move) string {
	build, known := view.inForce(move.ID.Service)
	if !known {
		return "the service is not in the configuration"
	}
	if move.Number > 0 {
		return ""
	}
	if after, found := undonePrerequisite(view, move.ID); found {
		return fmt.Sprintf("the change of service %q in the same note was undone", after)
	}
	switch move.Action {
	case dotterelpulley.ChangeReplace:
		if build.Version != move.From.Version {
			return fmt.Sprintf("it starts from version %q, but version %q is in force", move.From.Version, build.Version)
		}
	case dotterelpulley.ChangeWithdraw:
		if build.Version == move.From.Version {
			return fmt.Sprintf("version %q is in force and cannot be withdrawn", move.From.Version)
		}
	case dotterelpulley.ChangeAdd:
	}
	return ""
}

func undonePrerequisite(view *View, id recorder.MoveID) (dotterelpulley.ServiceID, bool) {
	change, found := changeOf(view, id)
	if !found {
		return "", false
	}
	for _, after := range change.After {
		m, opened := view.Moves.Move(recorder.MoveID{Note: id.Note, Service: after})
		if opened && m.Phase == recorder.PhaseUndone {
			return after, true
		}
	}
	return "", false
}

func changeOf(view *View, id recorder.MoveID) (dotterelpulley.Change, bool) {
	note, known := view.Configuration.Note(id.Note)
	if !known {
		return dotterelpulley.Change{}, false
	}
	for _, change := range note.Note.Changes {
		if change.Service == id.Service {
			return change, true
		}
	}
	return dotterelpulley.Change{}, false
}

// timeNeeded returns the minimum time in which the move can still complete.
func (m *Mover) timeNeeded(now time.Time, view *View, move recorder.Move) time.Duration {
	if move.Action != dotterelpulley.ChangeReplace {
		return 0
	}
	if m.complete(now, view, move) {
		return 0
	}
	return remainingTime(move, now)
}

func (m *Mover) missingProgress(view *View, move recorder.Move, left time.Duration) string {
	a := view.Assessments[move.ID]
	if move.Number == 0 {
		return fmt.Sprintf("%s left, %d of %d endpoints have loaded the version",
			left.Round(time.Second), loadedCount(view, move), len(view.serving(move.ID.Service)))
	}
	return fmt.Sprintf("%s left at step %d: %s", left.Round(time.Second), move.Number, a.Reason)
}

// advance returns the record that advances the move, if its newest step is proved, or nil.
func (m *Mover) advance(now time.Time, view *View, move recorder.Move) recorder.Body {
	if m.complete(now, view, move) {
		return recorder.Outcome{Fence: m.lease.fence, Move: move.ID, Done: true, Reason: view.Assessments[move.ID].Reason}
	}
	if move.Action != dotterelpulley.ChangeReplace {
		return nil
	}
	shares := stepShares(move.CanaryShare)
	if move.Number >= len(shares) || !m.proved(now, view, move) {
		return nil
	}
	share := shares[move.Number]
	if !enoughLoaded(view, move, share) {
		return nil
	}
	return recorder.Step{
		Fence: m.lease.fence, Move: move.ID, Number: move.Number + 1, Share: share,
		Reason: view.Assessments[move.ID].Reason,
	}
}

// complete reports whether the move has nothing left to do or to prove.
func (m *Mover) complete(now time.Time, view *View, move recorder.Move) bool {
	switch move.Action {
	case dotterelpulley.ChangeReplace:
		return move.Share >= recorder.FinalShare && m.proved(now, view, move)
	case dotterelpulley.ChangeAdd:
		return enoughLoaded(view, move, 1)
	case dotterelpulley.ChangeWithdraw:
		return !stillLoaded(view, move)
	}
	return false
}

// proved reports whether the newest step has been watched for its time with enough good evidence.
func (m *Mover) proved(now time.Time, view *View, move recorder.Move) bool {
	if move.Number == 0 {
		return true
	}
	a := view.Assessments[move.ID]
	return now.Sub(move.Since) >= move.ObservationTime && a.Step == move.Number && a.EnoughEvidence && !a.Bad
}

// maxOpenDelay is how long after its deadline a note that was never opened still gets an outcome record.
const maxOpenDelay = 24 * time.Hour

// nextOpening returns the opening of the next queued change; changes of one service run in the order of acceptance.
func (m *Mover) nextOpening(now time.Time, view *View) (recorder.Body, bool) {
	blocked := map[dotterelpulley.ServiceID]bool{}
	for _, n := range view.Configuration.Notes {
		if now.Sub(n.Note.Deadline) > maxOpenDelay {
			continue
		}
		for _, change := range n.Note.Changes {
			id := recorder.MoveID{Note: n.Note.ID, Service: change.Service}
			move, opened := view.Moves.Move(id)
			if opened && !move.Running() {
				continue
			}
			if opened || blocked[change.Service] || !prerequisitesEnded(view, id, change) {
				blocked[change.Service] = true
				continue
			}
			return recorder.Opening{
				Fence: m.lease.fence, Move: id, Action: change.Action, From: startingBuild(view, change), To: change.To,
				Deadline: n.Note.Deadline, CanaryShare: n.Note.CanaryShare, ObservationTime: n.Note.ObservationTime,
			}, true
		}
	}
	return nil, false
}

// startingBuild returns the build that the change starts from, with the model filled in if the note omits it.
func startingBuild(view *View, change dotterelpulley.Change) dotterelpulley.Build {
	build, known := view.inForce(change.Service)
	if known && build.Version == change.From.Version {
		return build
	}
	if change.From.Model == "" {
		return dotterelpulley.Build{Version: change.From.Version, Model: build.Model, Adapter: build.Adapter}
	}
	return change.From
}

// prerequisitesEnded reports whether the changes that must come first have ended.
func prerequisitesEnded(view *View, id recorder.MoveID, change dotterelpulley.Change) bool {
	for _, after := range change.After {
		m, opened := view.Moves.Move(recorder.MoveID{Note: id.Note, Service: after})
		if !opened || m.Running() {
			return false
		}
	}
	return true
}

const (
	// maxTailRecords limits the number of records that a new host reads.
	maxTailRecords = 1000
	// snapshotsPerRetention is how often a snapshot is made within the log's retention time.
	snapshotsPerRetention = 4
)

func (m *Mover) snapshot(now time.Time, view *View) (appender.Stream, recorder.Body, bool) {
	if m.snapshotDue(now, view.Tails.Configuration) {
		through := view.Tails.Configuration.Through.Offset
		return appender.StreamConfiguration, recorder.ConfigurationSnapshot{Through: through, State: view.Configuration}, true
	}
	if m.snapshotDue(now, view.Tails.Moves) {
		through := view.Tails.Moves.Through.Offset
		return appender.StreamMoves, recorder.MovesSnapshot{Through: through, State: view.Moves}, true
	}
	return "", nil, false
}

func (m *Mover) snapshotDue(now time.Time, tail Tail) bool {
	if tail.Records == 0 {
		return false
	}
	old := now.Sub(tail.Oldest) > m.Settings.Retention/snapshotsPerRetention
	return old || tail.Records > maxTailRecords
}
