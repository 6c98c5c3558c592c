package follower

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Follower knows what is in force; the zero value has read nothing and is not ready.
type Follower struct {
	configuration      configurationFold
	configurationTrack track
	moves              movesFold
	movesTrack         track
	facts              facts
}

func (f *Follower) track(stream appender.Stream) (*track, folder) {
	switch stream {
	case appender.StreamConfiguration:
		f.configurationTrack.stream = stream
		return &f.configurationTrack, &f.configuration
	case appender.StreamMoves:
		f.movesTrack.stream = stream
		return &f.movesTrack, &f.moves
	case appender.StreamRoster, appender.StreamClaims:
		return nil, nil
	}
	return nil, nil
}

// Apply takes a record that was read from the log or relayed by a peer and returns what was folded in.
func (f *Follower) Apply(stream appender.Stream, r appender.Record) []Change {
	t, fold := f.track(stream)
	if t == nil {
		return nil
	}
	changes := t.apply(fold, r)
	f.facts.forgetEnded(&f.moves.state)
	return changes
}

// ApplyPage takes a page that was read from the log, which also tells where the stream begins and ends.
func (f *Follower) ApplyPage(stream appender.Stream, page appender.Page) []Change {
	t, _ := f.track(stream)
	if t == nil {
		return nil
	}
	t.trim(page.First)
	var changes []Change
	for _, r := range page.Records {
		changes = append(changes, f.Apply(stream, r)...)
	}
	if len(page.Records) == 0 {
		t.end(page.Next - 1)
	}
	return changes
}

// Heard notes that a ready peer has folded the stream up to the head.
func (f *Follower) Heard(stream appender.Stream, head appender.Offset) {
	if t, _ := f.track(stream); t != nil {
		t.end(head)
	}
}

// Next returns the offset to read the stream from.
func (f *Follower) Next(stream appender.Stream) appender.Offset {
	t, _ := f.track(stream)
	if t == nil {
		return 1
	}
	return t.folded + 1
}

// Since returns up to limit records for a peer that has the stream up to head.
func (f *Follower) Since(stream appender.Stream, head appender.Offset, limit int) []appender.Record {
	t, _ := f.track(stream)
	if t == nil {
		return nil
	}
	return t.since(head+1, limit)
}

// Ready reports whether the newest records of some source have been folded in.
func (f *Follower) Ready() bool {
	return f.configurationTrack.reached && f.movesTrack.reached
}

// Reached reports whether the stream has been folded up to its end at some source of its newest record.
func (f *Follower) Reached(stream appender.Stream) bool {
	t, _ := f.track(stream)
	return t != nil && t.reached
}

// Configuration returns the configuration in force.
func (f *Follower) Configuration() dotterelpulley.Configuration {
	return f.configuration.state.Configuration
}

// Notes returns the accepted release notes in the order of acceptance.
func (f *Follower) Notes() []recorder.AcceptedNote {
	return f.configuration.state.Notes
}

// ConfigurationState returns the fold of the configuration stream; it must not be changed.
func (f *Follower) ConfigurationState() recorder.ConfigurationState {
	return f.configuration.state
}

// MovesState returns the fold of the moves stream; it must not be changed.
func (f *Follower) MovesState() recorder.MovesState {
	return f.moves.state
}

// Shares returns the versions that the service's new requests go to at that time, with the one to fall back on first.
func (f *Follower) Shares(service dotterelpulley.ServiceID, now time.Time) []dotterelpulley.Share {
	build, known := f.InForce(service)
	if !known {
		return nil
	}
	m, running := f.moves.state.Running(service)
	if !running || m.Action != dotterelpulley.ChangeReplace || !f.advancing(m, now) {
		return []dotterelpulley.Share{{Version: recorder.VersionOf(build), Fraction: 1}}
	}
	return []dotterelpulley.Share{
		{Version: recorder.VersionOf(m.From), Fraction: 1 - m.Share},
		{Version: recorder.VersionOf(m.To), Fraction: m.Share},
	}
}

// advancing reports whether the move's new version may get requests.
func (f *Follower) advancing(m recorder.Move, now time.Time) bool {
	return m.Share > 0 && !m.Bad && !f.facts.has(m.ID) && !m.Expired(now)
}

// InForce returns the build that the service runs outside a move.
func (f *Follower) InForce(service dotterelpulley.ServiceID) (dotterelpulley.Build, bool) {
	if build, moved := f.moves.state.InForce[service]; moved {
		return build, true
	}
	s, known := f.Configuration().Service(service)
	return s.Build, known
}

// Running returns the running move of the service.
func (f *Follower) Running(service dotterelpulley.ServiceID) (recorder.Move, bool) {
	return f.moves.state.Running(service)
}

// Tail returns how many records of the stream follow its newest snapshot, that one included, and when the log took the first of them.
func (f *Follower) Tail(stream appender.Stream) (records int, oldest time.Time) {
	t, _ := f.track(stream)
	if t == nil || len(t.tail) == 0 {
		return 0, time.Time{}
	}
	return len(t.tail), t.tail[0].Appended
}
