package mover

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Mover decides what one host does about moves; set Settings and IDPrefix before the first tick.
type Mover struct {
	Settings Settings
	// IDPrefix is the unique prefix of the ids of this process's records.
	IDPrefix string

	lease     lease
	pending   pending
	orders    orders
	broadcast map[recorder.MoveID]bool
	lastID    int
	// released is true once the lease was released.
	released bool
}

// Tick returns the actions to carry out now.
func (m *Mover) Tick(now time.Time, view *View) []Action {
	if m.released {
		return nil
	}
	m.lease.observe(now, view)
	actions := m.broadcastBadVersions(view)
	if m.lease.active(now, view) {
		actions = append(actions, m.orders.next(now, view, m.Settings, m.lease.fence)...)
	}
	if m.pending.outstanding {
		if m.pending.retryDue(now, view.CaughtUp) && m.mayRetryPending(now, view) {
			actions = append(actions, m.pending.append)
		}
		return actions
	}
	stream, body, due := m.wantedRecord(now, view)
	if !due {
		return actions
	}
	m.lastID++
	a := Append{Stream: stream, Envelope: recorder.Envelope{
		ID:   recorder.RecordID(fmt.Sprintf("%s-%d", m.IDPrefix, m.lastID)),
		Body: body,
	}}
	m.pending.begin(a, now)
	return append(actions, a)
}

// mayRetryPending reports whether the pending record may be sent again; it drops claims, renewals and
// records that were decided under a lease that has ended.
func (m *Mover) mayRetryPending(now time.Time, view *View) bool {
	switch m.pending.append.Envelope.Body.(type) {
	case recorder.Claim, recorder.Renewal:
		m.pending.outstanding = false
		return false
	case recorder.Delta, recorder.Note, recorder.ConfigurationSnapshot, recorder.Release, recorder.Opening,
		recorder.Step, recorder.Outcome, recorder.BadVersion, recorder.MovesSnapshot:
	}
	if !m.lease.active(now, view) {
		m.pending.outstanding = false
	}
	return m.pending.outstanding
}

// AppendAnswered records the result of an append.
func (m *Mover) AppendAnswered(id recorder.RecordID, now time.Time, err error) {
	m.pending.recordAnswer(id, now, err)
}

// Observe processes the verdict on each record of the streams as it is read.
func (m *Mover) Observe(v recorder.Verdict) {
	body, sentAt := m.pending.append.Envelope.Body, m.pending.sentAt
	if m.pending.settle(v) && v.Accepted && !m.released {
		m.lease.accepted(body, v.Offset, sentAt, m.Settings.Lease)
	}
}

// OrderAnswered records the result of an order.
func (m *Mover) OrderAnswered(o Order, now time.Time, err error) {
	m.orders.answered(o, now, err)
}

// MaySend reports whether the lease outlasts the order's timeout.
func (m *Mover) MaySend(o Order, now time.Time) bool {
	return o.Fence == m.lease.fence && now.Add(m.Settings.OrderTimeout).Before(m.lease.until)
}

// Leading reports whether the newest claim that this host knows of is its own, expired or not.
func (m *Mover) Leading(view *View) bool {
	return m.lease.leading(view)
}

// Active reports whether this host may advance moves.
func (m *Mover) Active(now time.Time, view *View) bool {
	return m.lease.active(now, view)
}

// ReleaseLease returns the record that releases the lease, if this host holds it; from then on nothing is sent under the lease.
func (m *Mover) ReleaseLease(now time.Time, view *View) (Append, bool) {
	if !m.lease.active(now, view) {
		return Append{}, false
	}
	m.lease.until = time.Time{}
	m.released = true
	m.lastID++
	return Append{Stream: appender.StreamMoves, Envelope: recorder.Envelope{
		ID:   recorder.RecordID(fmt.Sprintf("%s-%d", m.IDPrefix, m.lastID)),
		Body: recorder.Release{Fence: m.lease.fence},
	}}, true
}

// broadcastBadVersions returns the broadcasts of bad verdicts on running moves, once for each move, also under an expired lease.
func (m *Mover) broadcastBadVersions(view *View) []Action {
	if !m.lease.leading(view) {
		return nil
	}
	var actions []Action
	for _, move := range view.Moves.Moves {
		if !move.Running() || m.broadcast[move.ID] {
			continue
		}
		if bad, found := m.verdictAgainst(view, move); found {
			if m.broadcast == nil {
				m.broadcast = map[recorder.MoveID]bool{}
			}
			m.broadcast[move.ID] = true
			actions = append(actions, BroadcastBadVersion{Bad: bad})
		}
	}
	return actions
}

// verdictAgainst returns the verdict against the move's version, from this host's own assessment or an entry host.
func (m *Mover) verdictAgainst(view *View, move recorder.Move) (recorder.BadVersion, bool) {
	for _, bad := range view.BadVersions {
		if bad.Move == move.ID && bad.Version == recorder.VersionOf(move.To) {
			return bad, true
		}
	}
	a := view.Assessments[move.ID]
	if !a.Bad {
		return recorder.BadVersion{}, false
	}
	return recorder.BadVersion{
		Move: move.ID, Version: recorder.VersionOf(move.To), Reason: a.Reason, ReportedBy: m.Settings.Host,
	}, true
}
