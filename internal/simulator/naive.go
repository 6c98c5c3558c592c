package simulator

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	naiveErrorRate = 0.05
	naiveRequests  = 20
)

// naiveMover advances steps on a timer and rolls back above a fixed error rate.
type naiveMover struct {
	name        string
	fence       appender.Offset
	claimID     recorder.RecordID
	recordCount int
	lastAction  time.Time
	errorRate   float64
	requests    int
}

func (n *naiveMover) append(body recorder.Body, now time.Time) []mover.Action {
	n.recordCount++
	n.lastAction = now
	id := recorder.RecordID(fmt.Sprintf("%s-%d", n.name, n.recordCount))
	if _, isClaim := body.(recorder.Claim); isClaim {
		n.claimID = id
	}
	return []mover.Action{mover.Append{Stream: appender.StreamMoves, Envelope: recorder.Envelope{ID: id, Body: body}}}
}

// Tick returns the next actions.
func (n *naiveMover) Tick(now time.Time, view *mover.View) []mover.Action {
	if now.Sub(n.lastAction) < time.Second {
		return nil
	}
	if n.fence == 0 {
		return n.append(recorder.Claim{Holder: dotterelpulley.HostID(n.name), Duration: time.Hour, PreviousFence: view.Moves.Lease.Fence}, now)
	}
	if len(view.Configuration.Notes) == 0 {
		return nil
	}
	note := view.Configuration.Notes[0].Note
	id := recorder.MoveID{Note: note.ID, Service: service}
	m, opened := view.Moves.Move(id)
	if !opened {
		change := note.Changes[0]
		return n.append(recorder.Opening{
			Fence: n.fence, Move: id, Action: change.Action, From: change.From, To: change.To,
			Deadline: note.Deadline, CanaryShare: note.CanaryShare, ObservationTime: note.ObservationTime,
		}, now)
	}
	if !m.Running() {
		return nil
	}
	if m.Number == 0 {
		return n.load(now, view, m)
	}
	if n.requests >= naiveRequests && n.errorRate > naiveErrorRate {
		return n.append(recorder.Outcome{Fence: n.fence, Move: id, Reason: "errors"}, now)
	}
	if now.Sub(m.Since) < note.ObservationTime {
		return nil
	}
	shares := []float64{note.CanaryShare, 0.25, 0.5, 1}
	if m.Number == len(shares) {
		return n.append(recorder.Outcome{Fence: n.fence, Move: id, Done: true}, now)
	}
	return n.append(recorder.Step{Fence: n.fence, Move: id, Number: m.Number + 1, Share: shares[m.Number]}, now)
}

func (n *naiveMover) load(now time.Time, view *mover.View, m recorder.Move) []mover.Action {
	var actions []mover.Action
	for _, e := range view.Endpoints {
		if len(e.Loaded) < 2 && !e.Loading {
			actions = append(actions, mover.Order{Endpoint: e.ID, Fence: n.fence, Want: []dotterelpulley.VersionID{oldVersion, newVersion}})
		}
		if e.Loading {
			n.lastAction = now
			return nil
		}
	}
	if len(actions) > 0 {
		n.lastAction = now
		return actions
	}
	return n.append(recorder.Step{Fence: n.fence, Move: m.ID, Number: 1, Share: m.CanaryShare}, now)
}

// Observe learns the fence from the verdict on the mover's own claim.
func (n *naiveMover) Observe(v recorder.Verdict) {
	if v.ID == n.claimID && v.Accepted {
		n.fence = v.Offset
	}
}

// AppendAnswered ignores answers, as the timer retries.
func (n *naiveMover) AppendAnswered(recorder.RecordID, time.Time, error) {}

// OrderAnswered ignores answers, as the timer retries.
func (n *naiveMover) OrderAnswered(mover.Order, time.Time, error) {}

// MaySend always allows the order, whatever the time.
func (n *naiveMover) MaySend(mover.Order, time.Time) bool { return true }

// Leading reports whether the mover's claim was accepted.
func (n *naiveMover) Leading(*mover.View) bool { return n.fence != 0 }
