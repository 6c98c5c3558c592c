package publisher

import (
	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Publication is one change to be appended to the configuration stream.
type Publication struct {
	Envelope recorder.Envelope
	verdict  *recorder.Verdict
}

// NewConfigurationPublication returns the publication that replaces the configuration in force by the wanted one.
func NewConfigurationPublication(inForce, wanted dotterelpulley.Configuration) Publication {
	return publication(inForce.Revision, recorder.Diff(inForce, wanted))
}

// NewNotePublication returns the publication of a release note that was validated against the configuration.
func NewNotePublication(inForce dotterelpulley.Configuration, note dotterelpulley.ReleaseNote) Publication {
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

// Observe takes a verdict on a record of the stream and reports whether it decides the publication.
//
// A record may be appended twice because the first response was lost. It is then
// accepted once, and the refusal of the second copy is ignored.
func (p *Publication) Observe(v recorder.Verdict) (decided bool) {
	if v.ID != p.Envelope.ID {
		return false
	}
	if p.verdict == nil || v.Accepted {
		p.verdict = &v
	}
	return true
}

// Verdict returns the verdict on the publication's record, if it is known yet.
func (p *Publication) Verdict() (recorder.Verdict, bool) {
	if p.verdict == nil {
		return recorder.Verdict{}, false
	}
	return *p.verdict, true
}
