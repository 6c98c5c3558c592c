package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
)

// Encode encodes the envelope as the bytes of a record.
func Encode(env Envelope) ([]byte, error) {
	kind, wire := bodyToWire(env.Body)
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode %s record %q: %w", kind, env.ID, err)
	}
	return json.Marshal(wireEnvelope{ID: string(env.ID), Kind: kind, Base: int64(env.Base), Body: body})
}

// Decode decodes the bytes of a record; it rejects unknown fields and trailing data, so that all readers reject the same records.
func Decode(data []byte) (Envelope, error) {
	var w wireEnvelope
	if err := decodeStrict(data, &w); err != nil {
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
		"bad-version":            decodeBody(wireBadVersion.fromWire),
		"moves-snapshot":         decodeBody(wireMoves.fromWire),
	}
}

func decodeBody[W any](fromWire func(W) (Body, error)) bodyDecoder {
	return func(data json.RawMessage) (Body, error) {
		var w W
		if err := decodeStrict(data, &w); err != nil {
			return nil, err
		}
		return fromWire(w)
	}
}

func decodeStrict(data []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("data after the record's end")
	}
	return nil
}

// equalBodies reports whether both bodies encode to the same bytes.
func equalBodies(a, b Body) bool {
	_, wireA := bodyToWire(a)
	_, wireB := bodyToWire(b)
	left, errLeft := json.Marshal(wireA)
	right, errRight := json.Marshal(wireB)
	return errLeft == nil && errRight == nil && bytes.Equal(left, right)
}
