package recorder

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// noteRetention is how long an accepted note is kept after its deadline.
const noteRetention = 7 * 24 * time.Hour

// AcceptedNote is a release note that the configuration stream has accepted.
type AcceptedNote struct {
	Offset   appender.Offset
	Appended time.Time
	Note     dotterelpulley.ReleaseNote
}

// ConfigurationState is the state that results from applying the configuration stream's records in order.
type ConfigurationState struct {
	Configuration dotterelpulley.Configuration
	// NewestRecord is the id of the record that created the current revision.
	NewestRecord RecordID
	// Notes are the accepted release notes, in stream order.
	Notes []AcceptedNote
}

// Note returns the accepted note with the given id.
func (s *ConfigurationState) Note(id dotterelpulley.NoteID) (AcceptedNote, bool) {
	for _, n := range s.Notes {
		if n.Note.ID == id {
			return n, true
		}
	}
	return AcceptedNote{}, false
}

// Apply applies the next record of the stream and returns the verdict on it.
func (s *ConfigurationState) Apply(at Position, env Envelope) Verdict {
	s.dropOldNotes(at.Appended)
	switch body := env.Body.(type) {
	case Delta:
		return s.applyDelta(at, env, body)
	case Note:
		return s.applyNote(at, env, body.Note)
	case ConfigurationSnapshot:
		return s.applySnapshot(at, env, body)
	case Claim, Renewal, Release, Opening, Step, Outcome, BadVersion, MovesSnapshot:
		return refused(at, env, "the record does not belong on the configuration stream")
	}
	return refused(at, env, "the record has no body")
}

func (s *ConfigurationState) applyDelta(at Position, env Envelope, delta Delta) Verdict {
	if env.Base != s.Configuration.Revision {
		v := refused(at, env, "based on revision %d, but revision %d was in force", env.Base, s.Configuration.Revision)
		v.LostTo = s.NewestRecord
		return v
	}
	next, reason := delta.Apply(s.Configuration)
	if reason != "" {
		return refused(at, env, "%s", reason)
	}
	if reason := s.openNoteConflict(next, at.Appended); reason != "" {
		return refused(at, env, "%s", reason)
	}
	next.Revision = dotterelpulley.Revision(at.Offset)
	s.Configuration = next
	s.NewestRecord = env.ID
	return accepted(at, env)
}

// openNoteConflict returns why next conflicts with a release note whose deadline has not passed, because it removes a service of the note, or "".
func (s *ConfigurationState) openNoteConflict(next dotterelpulley.Configuration, now time.Time) string {
	for _, n := range s.Notes {
		if now.After(n.Note.Deadline) {
			continue
		}
		for _, change := range n.Note.Changes {
			_, before := s.Configuration.Service(change.Service)
			_, after := next.Service(change.Service)
			if before && !after {
				return "service " + string(change.Service) + " is in use by release note " + string(n.Note.ID)
			}
		}
	}
	return ""
}

func (s *ConfigurationState) applyNote(at Position, env Envelope, note dotterelpulley.ReleaseNote) Verdict {
	if env.Base > s.Configuration.Revision {
		return refused(at, env, "based on revision %d, but revision %d was in force", env.Base, s.Configuration.Revision)
	}
	if _, known := s.Note(note.ID); known {
		return refused(at, env, "release note %q has been published before", note.ID)
	}
	for _, fault := range CheckNote(note, s.Configuration, at.Appended) {
		return refused(at, env, "%s: %s", fault.Key, fault.Detail)
	}
	s.Notes = append(slices.Clone(s.Notes), AcceptedNote{Offset: at.Offset, Appended: at.Appended, Note: note})
	return accepted(at, env)
}

func (s *ConfigurationState) applySnapshot(at Position, env Envelope, snapshot ConfigurationSnapshot) Verdict {
	if at.Offset != snapshot.Through+1 {
		return refused(at, env, "the snapshot ends at offset %d", snapshot.Through)
	}
	if !equalBodies(snapshot, ConfigurationSnapshot{Through: snapshot.Through, State: *s}) {
		return refused(at, env, "the snapshot differs from the fold of revision %d", s.Configuration.Revision)
	}
	return accepted(at, env)
}

func (s *ConfigurationState) dropOldNotes(now time.Time) {
	outdated := func(n AcceptedNote) bool {
		return now.Sub(n.Note.Deadline) > noteRetention
	}
	if slices.ContainsFunc(s.Notes, outdated) {
		s.Notes = slices.DeleteFunc(slices.Clone(s.Notes), outdated)
	}
}
