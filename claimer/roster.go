package claimer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// maxEnded is the number of ended incarnations that are remembered, so that their late records are ignored.
const maxEnded = 2048

// RosterMember is a member with the state from its records.
type RosterMember struct {
	Member
	Joined  Offset
	Renewed Offset
	// RenewBase is the last roster offset that the member had seen when it joined or renewed.
	RenewBase  Offset
	Unrecorded bool
	Draining   bool
}

// RangeState is who holds a range and who is to hold it next.
type RangeState struct {
	Holder dotterelpulley.Incarnation
	Target dotterelpulley.Incarnation
	// Previous is the holder that yielded the range, empty after a takeover.
	Previous dotterelpulley.Incarnation
	// Since is the offset at which the holder got the range.
	Since Offset
	// UncertainBefore is the creation time before which a key may have run unrecorded.
	UncertainBefore time.Time
	// UncertainUntil is when the last such key has expired.
	UncertainUntil time.Time
}

// RosterState is the state that results from the records of the roster stream.
type RosterState struct {
	Members []RosterMember
	Ended   []dotterelpulley.Incarnation
	Ranges  [RangeCount]RangeState
	// Epoch is the offset of the last change of the members that reassigned the ranges.
	Epoch       Offset
	LastRemoval Offset
}

// Roster applies the records of the roster stream; every host that has read the same records has the same roster.
type Roster struct {
	RosterState
	next                 Offset
	started              bool
	pending              []StoredRosterRecord
	appliedSinceSnapshot int
	settings             Settings
}

// NextOffset returns the next offset to read.
func (r *Roster) NextOffset() Offset {
	return max(r.next, 1)
}

// Started reports whether the roster is known from its first record or from a snapshot.
func (r *Roster) Started() bool {
	return r.started
}

// LastOffset returns the offset of the last applied record.
func (r *Roster) LastOffset() Offset {
	return r.NextOffset() - 1
}

// Apply applies one record, ignores it if its offset is before the expected one, and reports whether it took effect.
func (r *Roster) Apply(stored StoredRosterRecord) bool {
	if stored.Offset < r.NextOffset() {
		return false
	}
	first := r.next == 0
	gap := !first && stored.Offset > r.next
	r.next = stored.Offset + 1
	if gap {
		r.RosterState, r.started, r.pending = RosterState{}, false, nil
	}
	if first && stored.Offset == 1 {
		r.started = true
	}
	if !r.started {
		return r.bootstrap(stored)
	}
	return r.applyRecord(stored)
}

// bootstrap waits for a snapshot whose following records have all been read.
func (r *Roster) bootstrap(stored StoredRosterRecord) bool {
	r.pending = append(r.pending, stored)
	snapshot, ok := stored.Record.(Snapshot)
	if !ok || snapshot.Base < r.pending[0].Offset-1 {
		return false
	}
	r.RosterState = snapshot.State
	r.RosterState = r.state()
	r.started = true
	pending := r.pending
	r.pending = nil
	for _, b := range pending {
		if b.Offset > snapshot.Base {
			r.applyRecord(b)
		}
	}
	return true
}

// adopt uses another member's roster while this host knows none.
func (r *Roster) adopt(s Snapshot) {
	if r.started || s.Base < r.LastOffset() {
		return
	}
	r.RosterState = s.State
	r.RosterState = r.state()
	r.next = s.Base + 1
	r.started = true
	r.pending = nil
}

func (r *Roster) applyRecord(stored StoredRosterRecord) bool {
	r.appliedSinceSnapshot++
	switch rec := stored.Record.(type) {
	case Join:
		return r.join(stored.Offset, rec)
	case Renew:
		return r.renew(stored.Offset, rec)
	case Drain:
		return r.drain(stored.Offset, rec)
	case Leave:
		return r.leave(stored, rec)
	case Yield:
		return r.yield(stored.Offset, rec)
	case Expire:
		return r.expire(stored, rec)
	case Snapshot:
		r.appliedSinceSnapshot = 0
		return true
	case Void:
	}
	return false
}

func (r *Roster) join(at Offset, rec Join) bool {
	id := rec.Member.Incarnation
	if slices.Contains(r.Ended, id) || r.index(id) >= 0 {
		return false
	}
	r.Members = append(r.Members, RosterMember{Member: rec.Member, Joined: at, Renewed: at, RenewBase: at})
	r.updateTargets(at)
	for i := range r.Ranges {
		if r.Ranges[i].Holder == "" {
			r.Ranges[i].Holder = r.Ranges[i].Target
			r.Ranges[i].Since = at
		}
	}
	return true
}

func (r *Roster) renew(at Offset, rec Renew) bool {
	i := r.index(rec.Incarnation)
	if i < 0 {
		return false
	}
	m := &r.Members[i]
	if rec.Base < m.RenewBase {
		return false
	}
	m.Renewed = at
	m.RenewBase = rec.Base
	m.Unrecorded = rec.Unrecorded
	return true
}

func (r *Roster) drain(at Offset, rec Drain) bool {
	i := r.index(rec.Incarnation)
	if i < 0 || r.Members[i].Draining {
		return false
	}
	r.Members[i].Draining = true
	r.updateTargets(at)
	return true
}

func (r *Roster) leave(stored StoredRosterRecord, rec Leave) bool {
	if r.index(rec.Incarnation) < 0 {
		return false
	}
	r.remove(stored, rec.Incarnation, time.Time{})
	return true
}

func (r *Roster) yield(at Offset, rec Yield) bool {
	if rec.Epoch != r.Epoch || r.index(rec.Incarnation) < 0 {
		return false
	}
	for i := range r.Ranges {
		s := &r.Ranges[i]
		if s.Holder == rec.Incarnation && s.Target != s.Holder {
			s.Previous = s.Holder
			s.Holder = s.Target
			s.Since = at
		}
	}
	return true
}

func (r *Roster) expire(stored StoredRosterRecord, rec Expire) bool {
	i := r.index(rec.Incarnation)
	if i < 0 || r.Members[i].Renewed > rec.Base {
		return false
	}
	lastRun := time.Time{}
	if !rec.Clean || !r.witnessed(i, rec.Base) {
		lastRun = stored.Appended
		if rec.Gone.Before(stored.Appended) && stored.Appended.Sub(rec.Gone) < r.settings.KeyLifetime {
			lastRun = rec.Gone
		}
	}
	r.remove(stored, rec.Incarnation, lastRun)
	return true
}

// witnessed reports whether every host that may know of the member's unrecorded claims is still a member and was asked.
func (r *Roster) witnessed(i int, base Offset) bool {
	m := r.Members[i]
	if m.Unrecorded || r.LastRemoval > m.RenewBase || r.Epoch > base {
		return false
	}
	for _, other := range r.Members {
		if other.Incarnation != m.Incarnation && other.Joined <= m.RenewBase {
			return true
		}
	}
	return false
}

// remove removes a member; lastRun is until when it may have run unrecorded claims, zero if it has none.
func (r *Roster) remove(stored StoredRosterRecord, id dotterelpulley.Incarnation, lastRun time.Time) {
	r.Members = slices.DeleteFunc(r.Members, func(m RosterMember) bool { return m.Incarnation == id })
	r.Ended = append(r.Ended, id)
	if len(r.Ended) > maxEnded {
		r.Ended = slices.Delete(r.Ended, 0, len(r.Ended)-maxEnded)
	}
	r.LastRemoval = stored.Offset
	r.updateTargets(stored.Offset)
	for i := range r.Ranges {
		s := &r.Ranges[i]
		if s.Holder != id {
			continue
		}
		s.Previous = ""
		s.Holder = s.Target
		s.Since = stored.Offset
		if !lastRun.IsZero() {
			s.UncertainBefore = later(s.UncertainBefore, lastRun.Add(r.settings.ClockError))
			s.UncertainUntil = later(s.UncertainUntil, lastRun.Add(r.settings.KeyLifetime+r.settings.ClockError))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Roster) index(id dotterelpulley.Incarnation) int {
	return slices.IndexFunc(r.Members, func(m RosterMember) bool { return m.Incarnation == id })
}

// MemberOf returns the member of that incarnation.
func (r *Roster) MemberOf(id dotterelpulley.Incarnation) (RosterMember, bool) {
	i := r.index(id)
	if i < 0 {
		return RosterMember{}, false
	}
	return r.Members[i], true
}

func (r *Roster) updateTargets(at Offset) {
	r.Epoch = at
	for i := range r.Ranges {
		r.Ranges[i].Target = r.target(RangeID(i))
	}
}

// target selects the range's holder by rendezvous hashing on host ids; of two incarnations of a host the later one wins.
func (r *Roster) target(id RangeID) dotterelpulley.Incarnation {
	var best RosterMember
	var bestScore uint64
	for _, m := range r.Members {
		score := xxhash.Sum64(append([]byte{byte(id)}, m.Host...))
		better := score >= bestScore
		if m.Draining != best.Draining {
			better = best.Draining
		}
		if best.Incarnation == "" || better {
			best, bestScore = m, score
		}
	}
	return best.Incarnation
}

// state returns a copy that later records don't change.
func (r *Roster) state() RosterState {
	s := r.RosterState
	s.Members = slices.Clone(s.Members)
	s.Ended = slices.Clone(s.Ended)
	return s
}
