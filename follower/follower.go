package follower

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Follower is a replica of the state in force; the zero value has read nothing and is not ready.
type Follower struct {
	configuration          configurationMachine
	configurationSequencer sequencer
	moves                  movesMachine
	movesSequencer         sequencer
	badVersions            badVersions
}

func (f *Follower) sequencer(stream appender.Stream) (*sequencer, stateMachine) {
	switch stream {
	case appender.StreamConfiguration:
		f.configurationSequencer.stream = stream
		return &f.configurationSequencer, &f.configuration
	case appender.StreamMoves:
		f.movesSequencer.stream = stream
		return &f.movesSequencer, &f.moves
	case appender.StreamRoster, appender.StreamClaims:
		return nil, nil
	}
	return nil, nil
}

// Apply takes a record that was read from the log or relayed by a peer and returns the records that were applied.
func (f *Follower) Apply(stream appender.Stream, r appender.Record) []Change {
	s, machine := f.sequencer(stream)
	if s == nil {
		return nil
	}
	changes := s.apply(machine, r)
	f.badVersions.removeEnded(&f.moves.state)
	return changes
}

// ApplyPage applies a page that was read from the log, which also shows the bounds of the stream.
func (f *Follower) ApplyPage(stream appender.Stream, page appender.Page) []Change {
	s, _ := f.sequencer(stream)
	if s == nil {
		return nil
	}
	s.skipTrimmed(page.First)
	var changes []Change
	for _, r := range page.Records {
		changes = append(changes, f.Apply(stream, r)...)
	}
	if len(page.Records) == 0 {
		s.observeEnd(page.Next - 1)
	}
	return changes
}

// ObserveEnd records that a ready peer has reported to have applied the stream up to head.
func (f *Follower) ObserveEnd(stream appender.Stream, head appender.Offset) {
	if s, _ := f.sequencer(stream); s != nil {
		s.observeEnd(head)
	}
}

// NextOffset returns the offset to read the stream from.
func (f *Follower) NextOffset(stream appender.Stream) appender.Offset {
	s, _ := f.sequencer(stream)
	if s == nil {
		return 1
	}
	return s.applied + 1
}

// RecordsAfter returns up to limit records for a peer that has applied the stream up to head.
func (f *Follower) RecordsAfter(stream appender.Stream, head appender.Offset, limit int) []appender.Record {
	s, _ := f.sequencer(stream)
	if s == nil {
		return nil
	}
	return s.recordsFrom(head+1, limit)
}

// Ready reports whether both streams have been applied up to an end that the log or a ready peer reported.
func (f *Follower) Ready() bool {
	return f.configurationSequencer.caughtUp && f.movesSequencer.caughtUp
}

// CaughtUp reports whether the stream has been applied up to an end that the log or a ready peer reported.
func (f *Follower) CaughtUp(stream appender.Stream) bool {
	s, _ := f.sequencer(stream)
	return s != nil && s.caughtUp
}

// Configuration returns the configuration in force.
func (f *Follower) Configuration() dotterelpulley.Configuration {
	return f.configuration.state.Configuration
}

// Notes returns the accepted release notes in stream order.
func (f *Follower) Notes() []recorder.AcceptedNote {
	return f.configuration.state.Notes
}

// ConfigurationState returns the state of the configuration stream; callers must not change it.
func (f *Follower) ConfigurationState() recorder.ConfigurationState {
	return f.configuration.state
}

// MovesState returns the state of the moves stream; callers must not change it.
func (f *Follower) MovesState() recorder.MovesState {
	return f.moves.state
}

// Shares returns how the service's new requests are split between versions at time now; the fallback version is first.
func (f *Follower) Shares(service dotterelpulley.ServiceID, now time.Time) []dotterelpulley.Share {
	build, known := f.InForce(service)
	if !known {
		return nil
	}
	m, running := f.moves.state.Running(service)
	if !running || m.Action != dotterelpulley.ChangeReplace || !f.receivesTraffic(m, now) {
		return []dotterelpulley.Share{{Version: recorder.VersionOf(build), Fraction: 1}}
	}
	return []dotterelpulley.Share{
		{Version: recorder.VersionOf(m.From), Fraction: 1 - m.Share},
		{Version: recorder.VersionOf(m.To), Fraction: m.Share},
	}
}

// receivesTraffic reports whether the move's new version may get requests.
func (f *Follower) receivesTraffic(m recorder.Move, now time.Time) bool {
	return m.Share > 0 && !m.Bad && !f.badVersions.contains(m.ID) && !m.Expired(now)
}

// InForce returns the build that the service runs outside a move.
func (f *Follower) InForce(service dotterelpulley.ServiceID) (dotterelpulley.Build, bool) {
	if build, moved := f.moves.state.InForce[service]; moved {
		return build, true
	}
	s, known := f.Configuration().Service(service)
	return s.InitialBuild, known
}

// Running returns the running move of the service.
func (f *Follower) Running(service dotterelpulley.ServiceID) (recorder.Move, bool) {
	return f.moves.state.Running(service)
}

// Tail returns the number of records from the stream's newest snapshot on, that one included, and when the log appended the first of them.
func (f *Follower) Tail(stream appender.Stream) (records int, oldest time.Time) {
	s, _ := f.sequencer(stream)
	if s == nil || len(s.tail) == 0 {
		return 0, time.Time{}
	}
	return len(s.tail), s.tail[0].Appended
}
