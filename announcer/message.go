package announcer

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// Message is a datagram between two hosts: Digest, Correction, Change, Probe, Ack, HistoryRequest or UsageHistory.
type Message interface {
	Encode() []byte
	message()
}

func (Digest) message()         {}
func (Change) message()         {}
func (Correction) message()     {}
func (Probe) message()          {}
func (Ack) message()            {}
func (HistoryRequest) message() {}
func (UsageHistory) message()   {}

// Probe asks for an Ack of the host at the target address; any other host passes it on to that address.
type Probe struct {
	Number uint64
	// Origin is the address of the host that wants to know.
	Origin dotterelpulley.Address
	Target dotterelpulley.Address
}

// Ack answers a Probe; a host that isn't the origin passes it on to the origin.
type Ack struct {
	Number      uint64
	Origin      dotterelpulley.Address
	Host        dotterelpulley.HostID
	Incarnation uint64
}

// Encode returns the probe in the protocol buffers wire format.
func (p Probe) Encode() []byte {
	b := fields.AppendNumber(nil, fieldNumber, p.Number)
	b = fields.AppendBytes(b, fieldOrigin, []byte(p.Origin))
	b = fields.AppendBytes(b, fieldTarget, []byte(p.Target))
	return fields.AppendBytes(nil, fieldProbe, b)
}

// Encode returns the answer in the protocol buffers wire format.
func (a Ack) Encode() []byte {
	b := fields.AppendNumber(nil, fieldNumber, a.Number)
	b = fields.AppendNumber(b, fieldAckIncarnation, a.Incarnation)
	b = fields.AppendBytes(b, fieldOrigin, []byte(a.Origin))
	b = fields.AppendBytes(b, fieldTarget, []byte(a.Host))
	return fields.AppendBytes(nil, fieldAck, b)
}

// Field numbers of a probe and its answer on the wire.
const (
	fieldNumber fields.Number = iota + 1
	fieldAckIncarnation
	fieldOrigin
	// fieldTarget is the address of a probe's target, or the id of the host that answers.
	fieldTarget
)

func decodeProbe(b []byte) (Message, error) {
	var p Probe
	err := fields.Each(b, func(n fields.Number, v uint64) {
		if n == fieldNumber {
			p.Number = v
		}
	}, func(n fields.Number, v []byte) error {
		switch n {
		case fieldOrigin:
			p.Origin = dotterelpulley.Address(v)
		case fieldTarget:
			p.Target = dotterelpulley.Address(v)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("decode probe: %w", err)
	}
	return p, nil
}

func decodeAck(b []byte) (Message, error) {
	var a Ack
	err := fields.Each(b, func(n fields.Number, v uint64) {
		switch n {
		case fieldNumber:
			a.Number = v
		case fieldAckIncarnation:
			a.Incarnation = v
		}
	}, func(n fields.Number, v []byte) error {
		switch n {
		case fieldOrigin:
			a.Origin = dotterelpulley.Address(v)
		case fieldTarget:
			a.Host = dotterelpulley.HostID(v)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("decode probe's answer: %w", err)
	}
	return a, nil
}

// Correction tells a host that another start of it is known under an equal or higher incarnation. Without a clock that can
// be trusted and without a disk, only its peers can tell a host which incarnations it has used.
type Correction struct {
	Host        dotterelpulley.HostID
	Start       uint64
	Incarnation uint64
}

// Encode returns the correction in the protocol buffers wire format.
func (c Correction) Encode() []byte {
	encoded := protowire.AppendVarint(nil, c.Start)
	encoded = protowire.AppendVarint(encoded, c.Incarnation)
	encoded = append(encoded, c.Host...)
	return fields.AppendBytes(nil, fieldCorrection, encoded)
}

// decoders holds the decoders of the messages that are one field; all others are digests.
var decoders = map[fields.Number]func([]byte) (Message, error){
	fieldChange:         decodeChange,
	fieldCorrection:     decodeCorrection,
	fieldProbe:          decodeProbe,
	fieldAck:            decodeAck,
	fieldHistoryRequest: decodeHistoryRequest,
	fieldUsageHistory:   decodeUsageHistory,
}

// Decode parses an encoded message.
func Decode(b []byte) (Message, error) {
	number, kind, n := protowire.ConsumeTag(b)
	decode, ok := decoders[fields.Number(number)]
	if n < 0 || !ok || kind != protowire.BytesType {
		return decodeDigest(b)
	}
	body, n := protowire.ConsumeBytes(b[n:])
	if n < 0 {
		return nil, fmt.Errorf("decode message: %w", protowire.ParseError(n))
	}
	return decode(body)
}

func decodeCorrection(b []byte) (Message, error) {
	var c Correction
	for _, value := range []*uint64{&c.Start, &c.Incarnation} {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, fmt.Errorf("decode correction: %w", protowire.ParseError(n))
		}
		*value, b = v, b[n:]
	}
	c.Host = dotterelpulley.HostID(b)
	return c, nil
}
