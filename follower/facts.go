package follower

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// facts holds verdicts on versions that hosts have spread, log or no log.
type facts struct {
	bad []recorder.BadVersion
}

func (f *facts) has(id recorder.MoveID) bool {
	for _, b := range f.bad {
		if b.Move == id {
			return true
		}
	}
	return false
}

// forgetEnded drops verdicts on moves that the log says have ended.
func (f *facts) forgetEnded(state *recorder.MovesState) {
	kept := f.bad[:0]
	for _, b := range f.bad {
		if m, known := state.Move(b.Move); known && !m.Running() {
			continue
		}
		kept = append(kept, b)
	}
	f.bad = kept
}

// Mark takes a verdict of this host or of a peer and reports whether it is news.
func (f *Follower) Mark(bad recorder.BadVersion) bool {
	if f.facts.has(bad.Move) {
		return false
	}
	if m, known := f.moves.state.Move(bad.Move); known && !m.Running() {
		return false
	}
	f.facts.bad = append(f.facts.bad, bad)
	return true
}

// Marked returns the verdicts that hosts have spread on moves that have not ended.
func (f *Follower) Marked() []recorder.BadVersion {
	return append([]recorder.BadVersion(nil), f.facts.bad...)
}

// BadVersions returns the versions that get no new requests of their service.
func (f *Follower) BadVersions() map[dotterelpulley.ServiceID][]dotterelpulley.VersionID {
	bad := map[dotterelpulley.ServiceID][]dotterelpulley.VersionID{}
	for _, m := range f.moves.state.Moves {
		if m.Running() && (m.Bad || f.facts.has(m.ID)) {
			bad[m.ID.Service] = append(bad[m.ID.Service], recorder.VersionOf(m.To))
		}
	}
	return bad
}
