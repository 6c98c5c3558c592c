package rehearsal

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

// naive steps on a timer and takes back over a fixed rate of errors.
type naive struct {
	name    string
	fence   appender.Offset
	claimed recorder.RecordID
	count   int
	asked   time.Time
	rate    float64
	seen    int
}

func (n *naive) append(body recorder.Body, now time.Time) []mover.Action {
	n.count++
	n.asked = now
	id := recorder.RecordID(fmt.Sprintf("%s-%d", n.name, n.count))
	if _, claim := body.(recorder.Claim); claim {
		n.claimed = id
	}
	return []mover.Action{mover.Append{Stream: appender.StreamMoves, Envelope: recorder.Envelope{ID: id, Body: body}}}
}

// Tick returns what to do now.
func (n *naive) Tick(now time.Time, view *mover.View) []mover.Action {
	if now.Sub(n.asked) < time.Second {
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
	if n.seen >= naiveRequests && n.rate > naiveErrorRate {
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

func (n *naive) load(now time.Time, view *mover.View, m recorder.Move) []mover.Action {
	var actions []mover.Action
	for _, e := range view.Endpoints {
		if len(e.Loaded) < 2 && !e.Loading {
			actions = append(actions, mover.Order{Endpoint: e.ID, Fence: n.fence, Want: []dotterelpulley.VersionID{oldest, newest}})
		}
		if e.Loading {
			n.asked = now
			return nil
		}
	}
	if len(actions) > 0 {
		n.asked = now
		return actions
	}
	return n.append(recorder.Step{Fence: n.fence, Move: m.ID, Number: 1, Share: m.CanaryShare}, now)
}

// Observe takes the verdict on each record.
func (n *naive) Observe(v recorder.Verdict) {
	if v.ID == n.claimed && v.Accepted {
		n.fence = v.Offset
	}
}

// Appended ignores answers: the timer tries again.
func (n *naive) AppendAnswered(recorder.RecordID, time.Time, error) {}

// OrderAnswered ignores answers: the timer tries again.
func (n *naive) OrderAnswered(mover.Order, time.Time, error) {}

// MaySend sends whatever the clock says.
func (n *naive) MaySend(mover.Order, time.Time) bool { return true }

// Leading reports whether it has claimed.
func (n *naive) Leading(*mover.View) bool { return n.fence != 0 }
