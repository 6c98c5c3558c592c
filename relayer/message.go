package relayer

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// FollowRequest is a host's question for what it doesn't know yet.
type FollowRequest struct {
	// Incarnation is the start of the reader that Endpoints belongs to; another reader tells all.
	Incarnation      uint64
	EndpointSequence Sequence
	// Configuration is the version that the asking host has.
	Configuration int64
	// Wait is the longest time to wait for something new.
	Wait time.Duration
}

// FollowResponse is what a reader knows.
type FollowResponse struct {
	Incarnation uint64
	// Age is how long ago the operators' records were known to be complete; Known tells whether they ever were.
	Age      time.Duration
	AgeKnown bool
	// Configuration is the operators' newest record, empty if the asking host has it.
	Configuration []byte
	Changes
}

// numbers of the fields of questions and answers on the wire.
const (
	fieldIncarnation fields.Number = iota + 1
	fieldSequence
	fieldConfiguration
	fieldWait
	fieldAge
	fieldKnown
	fieldWhole
	fieldRecord
)

// numbers of the fields of a record on the wire.
const (
	fieldKey fields.Number = iota + 1
	fieldValue
)

// Marshal returns the question in the protocol buffers' wire format.
func (a FollowRequest) Marshal() []byte {
	b := fields.AppendNumber(nil, fieldIncarnation, a.Incarnation)
	b = fields.AppendNumber(b, fieldSequence, uint64(a.EndpointSequence))
	b = fields.AppendNumber(b, fieldConfiguration, uint64(a.Configuration))
	return fields.AppendNumber(b, fieldWait, uint64(a.Wait))
}

// Unmarshal reads the question.
func (a *FollowRequest) Unmarshal(data []byte) error {
	*a = FollowRequest{}
	return fields.Each(data, func(number fields.Number, value uint64) {
		switch number {
		case fieldIncarnation:
			a.Incarnation = value
		case fieldSequence:
			a.EndpointSequence = Sequence(value)
		case fieldConfiguration:
			a.Configuration = int64(value)
		case fieldWait:
			a.Wait = time.Duration(value)
		}
	}, func(fields.Number, []byte) error { return nil })
}

// Marshal returns the answer in the protocol buffers' wire format.
func (a FollowResponse) Marshal() []byte {
	b := fields.AppendNumber(nil, fieldIncarnation, a.Incarnation)
	b = fields.AppendNumber(b, fieldSequence, uint64(a.Next))
	b = fields.AppendNumber(b, fieldAge, uint64(a.Age))
	b = fields.AppendNumber(b, fieldKnown, protowire.EncodeBool(a.AgeKnown))
	b = fields.AppendNumber(b, fieldWhole, protowire.EncodeBool(a.Full))
	if len(a.Configuration) > 0 {
		b = fields.AppendBytes(b, fieldConfiguration, a.Configuration)
	}
	for _, r := range a.Records {
		inner := fields.AppendBytes(nil, fieldKey, []byte(r.Key))
		inner = fields.AppendBytes(inner, fieldValue, r.Value)
		b = fields.AppendBytes(b, fieldRecord, inner)
	}
	return b
}

// Unmarshal reads the answer.
func (a *FollowResponse) Unmarshal(data []byte) error {
	*a = FollowResponse{}
	return fields.Each(data, func(number fields.Number, value uint64) {
		switch number {
		case fieldIncarnation:
			a.Incarnation = value
		case fieldSequence:
			a.Next = Sequence(value)
		case fieldAge:
			a.Age = time.Duration(value)
		case fieldKnown:
			a.AgeKnown = protowire.DecodeBool(value)
		case fieldWhole:
			a.Full = protowire.DecodeBool(value)
		}
	}, func(number fields.Number, value []byte) error {
		switch number {
		case fieldConfiguration:
			a.Configuration = value
		case fieldRecord:
			r, err := unmarshalRecord(value)
			a.Records = append(a.Records, r)
			return err
		}
		return nil
	})
}

func unmarshalRecord(data []byte) (Record, error) {
	var r Record
	err := fields.Each(data, func(fields.Number, uint64) {}, func(number fields.Number, value []byte) error {
		switch number {
		case fieldKey:
			r.Key = string(value)
		case fieldValue:
			r.Value = value
		}
		return nil
	})
	return r, err
}
