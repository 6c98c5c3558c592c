package follower

import (
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// maxPending bounds the records that wait for an earlier one; further ones are dropped.
const maxPending = 4096

// Change is one record that the follower has applied.
type Change struct {
	Stream  appender.Stream
	Verdict recorder.Verdict
	// Body is the record's content; nil if the record was damaged.
	Body recorder.Body
}

// stateMachine is the replicated state of one stream.
type stateMachine interface {
	apply(at recorder.Position, env recorder.Envelope) recorder.Verdict
	// install replaces the state by the snapshot in body and reports whether it did; it rejects other bodies, snapshots at the wrong offset and snapshots older than the state.
	install(at recorder.Position, body recorder.Body) bool
}

// sequencer applies one stream's records in offset order.
type sequencer struct {
	stream appender.Stream
	// applied is the offset of the newest applied record.
	applied appender.Offset
	// missing is true after records were trimmed from the log before they were applied, until a snapshot is installed.
	missing bool
	// pending holds records that wait for an earlier one.
	pending map[appender.Offset]appender.Record
	// tail holds the records from the newest snapshot on, to relay to peers.
	tail []appender.Record
	// knownEnd is the highest known offset of the stream.
	knownEnd appender.Offset
	// caughtUp is true once every record up to an end reported by a source has been applied.
	caughtUp bool
	// endReported is true once the log or a ready peer has reported the end of the stream.
	endReported bool
}

func (s *sequencer) apply(m stateMachine, r appender.Record) []Change {
	if r.Offset <= s.applied {
		return nil
	}
	s.knownEnd = max(s.knownEnd, r.Offset)
	if r.Offset > s.applied+1 || s.missing {
		if changes, installed := s.installSnapshot(m, r); installed {
			return append(changes, s.applyPending(m)...)
		}
	}
	if r.Offset > s.applied+1 {
		s.addPending(r)
		return nil
	}
	changes := []Change{s.applyNext(m, r)}
	return append(changes, s.applyPending(m)...)
}

// installSnapshot installs a snapshot whose earlier records have not all been applied.
func (s *sequencer) installSnapshot(m stateMachine, r appender.Record) ([]Change, bool) {
	env, err := recorder.Decode(r.Data)
	if err != nil || !m.install(position(r), env.Body) {
		return nil, false
	}
	s.applied = r.Offset
	s.missing = false
	s.tail = []appender.Record{r}
	verdict := recorder.Verdict{Offset: r.Offset, ID: env.ID, Accepted: true}
	return []Change{{Stream: s.stream, Verdict: verdict, Body: env.Body}}, true
}

func (s *sequencer) addPending(r appender.Record) {
	if s.pending == nil {
		s.pending = map[appender.Offset]appender.Record{}
	}
	if len(s.pending) < maxPending {
		s.pending[r.Offset] = r
	}
}

func (s *sequencer) applyPending(m stateMachine) []Change {
	var changes []Change
	for len(s.pending) > 0 {
		r, ok := s.pending[s.applied+1]
		if !ok {
			break
		}
		changes = append(changes, s.applyNext(m, r))
	}
	for offset := range s.pending {
		if offset <= s.applied {
			delete(s.pending, offset)
		}
	}
	s.updateCaughtUp()
	return changes
}

func (s *sequencer) applyNext(m stateMachine, r appender.Record) Change {
	s.applied = r.Offset
	delete(s.pending, r.Offset)
	env, err := recorder.Decode(r.Data)
	if err != nil {
		s.tail = append(s.tail, r)
		verdict := recorder.Verdict{Offset: r.Offset, Reason: "damaged: " + err.Error()}
		return Change{Stream: s.stream, Verdict: verdict}
	}
	verdict := recorder.Verdict{Offset: r.Offset, ID: env.ID, Reason: "earlier records are missing"}
	if !s.missing {
		verdict = m.apply(position(r), env)
	}
	if verdict.Accepted && isSnapshot(env.Body) {
		s.tail = nil
	}
	s.tail = append(s.tail, r)
	return Change{Stream: s.stream, Verdict: verdict, Body: env.Body}
}

// skipTrimmed skips the records before first, which the log no longer keeps.
func (s *sequencer) skipTrimmed(first appender.Offset) {
	if first > s.applied+1 {
		s.applied = first - 1
		s.missing = true
		s.tail = nil
	}
}

// observeEnd records that a source, the log or a ready peer, has reported the offset as the end of the stream.
func (s *sequencer) observeEnd(offset appender.Offset) {
	s.knownEnd = max(s.knownEnd, offset)
	s.endReported = true
	s.updateCaughtUp()
}

func (s *sequencer) updateCaughtUp() {
	if s.endReported && !s.missing && s.applied >= s.knownEnd {
		s.caughtUp = true
	}
}

// recordsFrom returns records from the offset on, or from the newest snapshot if the offset is before it.
func (s *sequencer) recordsFrom(from appender.Offset, limit int) []appender.Record {
	if len(s.tail) == 0 || s.missing {
		return nil
	}
	skip := int(from - s.tail[0].Offset)
	if skip < 0 {
		skip = 0
	}
	if skip >= len(s.tail) {
		return nil
	}
	records := s.tail[skip:]
	return records[:min(limit, len(records))]
}

func position(r appender.Record) recorder.Position {
	return recorder.Position{Offset: r.Offset, Appended: r.Appended.UTC()}
}

func isSnapshot(body recorder.Body) bool {
	switch body.(type) {
	case recorder.ConfigurationSnapshot, recorder.MovesSnapshot:
		return true
	case recorder.Delta, recorder.Note, recorder.Claim, recorder.Renewal, recorder.Release,
		recorder.Opening, recorder.Step, recorder.Outcome, recorder.BadVersion:
		return false
	}
	return false
}
