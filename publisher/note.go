package publisher

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/decoder"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// defaultObservationTime is the observation time of each step if the note gives none.
const defaultObservationTime = time.Minute

// defaultCanaryShare is the share limit of an unproved version if the note gives none.
const defaultCanaryShare = 0.05

// BuildLookup returns the build that a service runs outside a move.
type BuildLookup func(dotterelpulley.ServiceID) (dotterelpulley.Build, bool)

// ParseNote decodes a release note file and validates it against the configuration at time now; name is the file's name in errors.
//
// If inForce is given, the withdrawal of a version in force is a problem too.
func ParseNote(name string, data []byte, c dotterelpulley.Configuration, inForce BuildLookup, now time.Time) (dotterelpulley.ReleaseNote, error) {
	note, r, err := decodeNote(name, data, now)
	if err != nil {
		return note, err
	}
	if len(r.problems) == 0 {
		r.addFaults(recorder.CheckNote(note, c, now))
	}
	if inForce != nil {
		r.checkWithdrawals(note, inForce)
	}
	return note, r.err()
}

func (r *report) checkWithdrawals(note dotterelpulley.ReleaseNote, inForce BuildLookup) {
	for i, change := range note.Changes {
		build, known := inForce(change.Service)
		if known && change.Action == dotterelpulley.ChangeWithdraw && build.Version == change.From.Version {
			r.add(fmt.Sprintf("changes[%d].from.version", i), "version %q is in force and cannot be withdrawn", build.Version)
		}
	}
}

// ParseNoteAlone decodes a release note file and validates it without a configuration, assuming that every service in it exists.
func ParseNoteAlone(name string, data []byte, now time.Time) (dotterelpulley.ReleaseNote, error) {
	note, r, err := decodeNote(name, data, now)
	if err != nil {
		return note, err
	}
	var c dotterelpulley.Configuration
	for _, change := range note.Changes {
		c.Services = append(c.Services, dotterelpulley.ServiceSettings{ID: change.Service})
	}
	if len(r.problems) == 0 {
		r.addFaults(recorder.CheckNote(note, c, now))
	}
	return note, r.err()
}

func decodeNote(name string, data []byte, now time.Time) (dotterelpulley.ReleaseNote, report, error) {
	w := wireNote{CanaryShare: defaultCanaryShare}
	if err := decoder.Decode(name, data, &w); err != nil {
		return dotterelpulley.ReleaseNote{}, report{}, err
	}
	r := report{lines: decoder.IndexLines(name, data)}
	note := dotterelpulley.ReleaseNote{
		ID:              dotterelpulley.NoteID(w.ID),
		Deadline:        r.deadline(w.Deadline, now),
		CanaryShare:     w.CanaryShare,
		ObservationTime: r.duration("watch", w.Watch, defaultObservationTime),
	}
	for i, change := range w.Changes {
		note.Changes = append(note.Changes, r.change(fmt.Sprintf("changes[%d]", i), change))
	}
	return note, r, nil
}

func (r *report) deadline(value any, now time.Time) time.Time {
	switch v := value.(type) {
	case time.Time:
		return v.UTC()
	case string:
		if at, err := time.Parse(time.RFC3339, v); err == nil {
			return at.UTC()
		}
		if d, err := time.ParseDuration(v); err == nil {
			return now.Add(d).UTC()
		}
	}
	r.add("deadline", "must be a time in RFC 3339 form or a duration from now such as \"2h\"")
	return time.Time{}
}

func (r *report) change(key string, w wireChange) dotterelpulley.Change {
	action, err := recorder.ParseAction(w.Action)
	if err != nil {
		r.add(key+".action", "%v", err)
	}
	change := dotterelpulley.Change{
		Action:  action,
		Service: dotterelpulley.ServiceID(w.Service),
		From:    w.From.fromWire(),
		To:      w.To.fromWire(),
	}
	for _, after := range w.After {
		change.After = append(change.After, dotterelpulley.ServiceID(after))
	}
	return change
}
