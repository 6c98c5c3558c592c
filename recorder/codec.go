package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
)

// Encode returns the envelope as a record's bytes.
func Encode(env Envelope) ([]byte, error) {
	kind, wire := bodyToWire(env.Body)
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode %s record %q: %w", kind, env.ID, err)
	}
	return json.Marshal(wireEnvelope{ID: string(env.ID), Kind: kind, Base: int64(env.Base), Body: body})
}

// Decode returns the envelope of a record's bytes; every reader fails on the same bytes.
func Decode(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := strict(data, &w); err != nil {
		return Envelope{}, fmt.Errorf("decode record: %w", err)
	}
	decode, known := bodyDecoders()[w.Kind]
	if !known {
		return Envelope{}, fmt.Errorf("record %q has unknown kind %q", w.ID, w.Kind)
	}
	if w.ID == "" {
		return Envelope{}, fmt.Errorf("a %s record has no id", w.Kind)
	}
	body, err := decode(w.Body)
	if err != nil {
		return Envelope{}, fmt.Errorf("%s record %q: %w", w.Kind, w.ID, err)
	}
	return Envelope{ID: RecordID(w.ID), Base: dotterelpulley.Revision(w.Base), Body: body}, nil
}

func bodyToWire(body Body) (kind string, wire any) {
	switch b := body.(type) {
	case Delta:
		return "configuration", b.toWire()
	case Note:
		return "release-note", noteToWire(b.Note)
	case ConfigurationSnapshot:
		return "configuration-snapshot", b.toWire()
	case Claim:
		return "claim", b.toWire()
	case Renewal:
		return "renewal", wireFence{int64(b.Fence)}
	case Release:
		return "release", wireFence{int64(b.Fence)}
	case Opening:
		return "opening", b.toWire()
	case Step:
		return "step", b.toWire()
	case Outcome:
		return "outcome", b.toWire()
	case BadVersion:
		return "bad-version", b.toWire()
	case MovesSnapshot:
		return "moves-snapshot", b.toWire()
	}
	return "unknown", nil
}

type bodyDecoder func(json.RawMessage) (Body, error)

func bodyDecoders() map[string]bodyDecoder {
	return map[string]bodyDecoder{
		"configuration":          decodeBody(wireDelta.fromWire),
		"release-note":           decodeBody(wireNote.body),
		"configuration-snapshot": decodeBody(wireConfiguration.fromWire),
		"claim":                  decodeBody(wireClaim.fromWire),
		"renewal":                decodeBody(func(w wireFence) (Body, error) { return Renewal{Fence: w.fromWire()}, nil }),
		"release":                decodeBody(func(w wireFence) (Body, error) { return Release{Fence: w.fromWire()}, nil }),
		"opening":                decodeBody(wireOpening.fromWire),
		"step":                   decodeBody(wireStep.fromWire),
		"outcome":                decodeBody(wireOutcome.fromWire),
		"bad-version":            decodeBody(wireBad.fromWire),
		"moves-snapshot":         decodeBody(wireMoves.fromWire),
	}
}

func decodeBody[W any](fromWire func(W) (Body, error)) bodyDecoder {
	return func(data json.RawMessage) (Body, error) {
		var w W
		if err := strict(data, &w); err != nil {
			return nil, err
		}
		return fromWire(w)
	}
}

func strict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("data after the record's end")
	}
	return nil
}

// same reports whether both bodies encode to the same bytes.
func same(a, b Body) bool {
	_, wa := bodyToWire(a)
	_, wb := bodyToWire(b)
	left, errLeft := json.Marshal(wa)
	right, errRight := json.Marshal(wb)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}
