package publisher

import (
	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Publication is one change on its way to the configuration stream.
type Publication struct {
	Envelope recorder.Envelope
	verdict  *recorder.Verdict
}

// OfConfiguration returns the publication that puts the wanted configuration in place of the one in force.
func OfConfiguration(inForce, wanted dotterelpulley.Configuration) Publication {
	return publication(inForce.Revision, recorder.Diff(inForce, wanted))
}

// OfNote returns the publication of a release note that was checked against the configuration.
func OfNote(inForce dotterelpulley.Configuration, note dotterelpulley.ReleaseNote) Publication {
	return publication(inForce.Revision, recorder.Note{Note: note})
}

func publication(base dotterelpulley.Revision, body recorder.Body) Publication {
	return Publication{Envelope: recorder.Envelope{
		ID:   recorder.RecordID(uuid.NewString()),
		Base: base,
		Body: body,
	}}
}

// Empty reports whether the publication changes nothing.
func (p *Publication) Empty() bool {
	delta, ok := p.Envelope.Body.(recorder.Delta)
	return ok && delta.Empty()
}

// Observe takes a verdict on a record of the stream and reports whether it settles the publication.
//
// A record that was appended twice, because the first answer was lost, is
// accepted once; a refusal of the second copy does not count.
func (p *Publication) Observe(v recorder.Verdict) (settled bool) {
	if v.ID != p.Envelope.ID {
		return false
	}
	if p.verdict == nil || v.Accepted {
		p.verdict = &v
	}
	return true
}

// Verdict returns what the stream decided, once it has.
func (p *Publication) Verdict() (recorder.Verdict, bool) {
	if p.verdict == nil {
		return recorder.Verdict{}, false
	}
	return *p.verdict, true
}
