package follower

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// badVersions holds the bad versions that hosts have reported, whether or not the log has recorded them.
type badVersions struct {
	reported []recorder.BadVersion
}

func (b *badVersions) contains(id recorder.MoveID) bool {
	for _, bad := range b.reported {
		if bad.Move == id {
			return true
		}
	}
	return false
}

// removeEnded removes the reports on moves that have ended according to the log.
func (b *badVersions) removeEnded(state *recorder.MovesState) {
	kept := b.reported[:0]
	for _, bad := range b.reported {
		if m, known := state.Move(bad.Move); known && !m.Running() {
			continue
		}
		kept = append(kept, bad)
	}
	b.reported = kept
}

// AddBadVersion adds a bad version that this host or a peer has reported and returns whether it was unknown.
func (f *Follower) AddBadVersion(bad recorder.BadVersion) bool {
	if f.badVersions.contains(bad.Move) {
		return false
	}
	if m, known := f.moves.state.Move(bad.Move); known && !m.Running() {
		return false
	}
	f.badVersions.reported = append(f.badVersions.reported, bad)
	return true
}

// ReportedBadVersions returns the bad versions that hosts have reported for moves that have not ended.
func (f *Follower) ReportedBadVersions() []recorder.BadVersion {
	return append([]recorder.BadVersion(nil), f.badVersions.reported...)
}

// BadVersions returns, per service, the versions that get no new requests.
func (f *Follower) BadVersions() map[dotterelpulley.ServiceID][]dotterelpulley.VersionID {
	bad := map[dotterelpulley.ServiceID][]dotterelpulley.VersionID{}
	for _, m := range f.moves.state.Moves {
		if m.Running() && (m.Bad || f.badVersions.contains(m.ID)) {
			bad[m.ID.Service] = append(bad[m.ID.Service], recorder.VersionOf(m.To))
		}
	}
	return bad
}
