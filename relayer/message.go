package relayer

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// FollowRequest asks a reader for the changes that a host does not have yet.
type FollowRequest struct {
	// Incarnation is the incarnation of the reader that issued EndpointSequence; any other reader returns all records.
	Incarnation      uint64
	EndpointSequence Sequence
	// Configuration is the configuration version of the requesting host.
	Configuration int64
	// Orders is the position after the newest order that the requesting host has.
	Orders Position
	// Wait is the maximum time to wait for a change.
	Wait time.Duration
	// AcceptStoreLost makes a reader that can't reach the store wait for a change like any other; otherwise it says so at once.
	AcceptStoreLost bool
	// ContactOnly asks for nothing but Contact; a host of an earlier build answers in full.
	ContactOnly bool
}

// Contact is a span over which the store answered some host, by the ages of its ends when it was told; zero if there is none.
type Contact struct {
	Since time.Duration
	Until time.Duration
	Known bool
}

// FollowResponse is a reader's response to a FollowRequest.
type FollowResponse struct {
	Incarnation uint64
	// Era is the newest era of the store that the reader knows.
	Era dotterelpulley.StoreEra
	// StoreLost is true if the reader can't reach the store, so that another one has to be asked.
	StoreLost bool
	// Position is the offset up to which the reader knows the endpoints' records, within Era; zero if it doesn't tell.
	Position int64
	// Age is the time since the operators' records were last known to be complete; AgeKnown is false if they never were, or if the
	// reader has yet to read the endpoints' records.
	Age      time.Duration
	AgeKnown bool
	// Contact is the latest contact of any host with the store that the reader knows of.
	Contact Contact
	// Configuration is the operators' newest record; empty if the requesting host has it.
	Configuration []byte
	// Orders are the orders that the requesting host lacks, oldest first.
	Orders []Order
	Changes
}

// Field numbers of requests and responses on the wire.
const (
	fieldIncarnation fields.Number = iota + 1
	fieldSequence
	fieldConfiguration
	fieldWait
	fieldAge
	fieldAgeKnown
	fieldFull
	fieldRecord
	fieldEra
	fieldStoreLost
	fieldOrder
	fieldOrderEra
	fieldOrderNext
	fieldPosition
	fieldContactOnly
	fieldContactSince
	fieldContactUntil
)

// Field numbers of a record and an order on the wire.
const (
	fieldKey fields.Number = iota + 1
	fieldValue
	fieldAfterEra
	fieldAfterNext
	fieldWritten
)

// Marshal returns the request in the protocol buffers wire format.
func (r FollowRequest) Marshal() []byte {
	b := fields.AppendNumber(nil, fieldIncarnation, r.Incarnation)
	b = fields.AppendNumber(b, fieldSequence, uint64(r.EndpointSequence))
	b = fields.AppendNumber(b, fieldConfiguration, uint64(r.Configuration))
	b = fields.AppendNumber(b, fieldWait, uint64(r.Wait))
	b = fields.AppendNumber(b, fieldOrderEra, uint64(r.Orders.Era))
	b = fields.AppendNumber(b, fieldOrderNext, uint64(r.Orders.Next))
	b = fields.AppendNumber(b, fieldStoreLost, protowire.EncodeBool(r.AcceptStoreLost))
	return fields.AppendNumber(b, fieldContactOnly, protowire.EncodeBool(r.ContactOnly))
}

// Unmarshal parses the request.
func (r *FollowRequest) Unmarshal(data []byte) error {
	*r = FollowRequest{}
	return fields.Each(data, func(number fields.Number, value uint64) {
		switch number {
		case fieldIncarnation:
			r.Incarnation = value
		case fieldSequence:
			r.EndpointSequence = Sequence(value)
		case fieldConfiguration:
			r.Configuration = int64(value)
		case fieldWait:
			r.Wait = time.Duration(value)
		case fieldOrderEra:
			r.Orders.Era = dotterelpulley.StoreEra(value)
		case fieldOrderNext:
			r.Orders.Next = int64(value)
		case fieldStoreLost:
			r.AcceptStoreLost = protowire.DecodeBool(value)
		case fieldContactOnly:
			r.ContactOnly = protowire.DecodeBool(value)
		}
	}, func(fields.Number, []byte) error { return nil })
}

// Marshal returns the response in the protocol buffers wire format.
func (r FollowResponse) Marshal() []byte {
	b := fields.AppendNumber(nil, fieldIncarnation, r.Incarnation)
	b = fields.AppendNumber(b, fieldSequence, uint64(r.Next))
	b = fields.AppendNumber(b, fieldAge, uint64(r.Age))
	b = fields.AppendNumber(b, fieldAgeKnown, protowire.EncodeBool(r.AgeKnown))
	b = fields.AppendNumber(b, fieldFull, protowire.EncodeBool(r.Full))
	b = fields.AppendNumber(b, fieldEra, uint64(r.Era))
	b = fields.AppendNumber(b, fieldStoreLost, protowire.EncodeBool(r.StoreLost))
	b = fields.AppendNumber(b, fieldPosition, uint64(max(r.Position, 0)))
	if r.Contact.Known {
		b = fields.AppendNumber(b, fieldContactSince, uint64(r.Contact.Since))
		b = fields.AppendNumber(b, fieldContactUntil, uint64(r.Contact.Until))
	}
	if len(r.Configuration) > 0 {
		b = fields.AppendBytes(b, fieldConfiguration, r.Configuration)
	}
	for _, record := range r.Records {
		b = fields.AppendBytes(b, fieldRecord, marshalRecord(record))
	}
	for _, order := range r.Orders {
		encoded := fields.AppendNumber(marshalRecord(order.Record), fieldAfterEra, uint64(order.After.Era))
		encoded = fields.AppendNumber(encoded, fieldAfterNext, uint64(order.After.Next))
		b = fields.AppendBytes(b, fieldOrder, encoded)
	}
	return b
}

func marshalRecord(r Record) []byte {
	b := fields.AppendBytes(nil, fieldKey, []byte(r.Key))
	b = fields.AppendBytes(b, fieldValue, r.Value)
	if r.Written > 0 {
		b = fields.AppendNumber(b, fieldWritten, uint64(r.Written))
	}
	return b
}

// Unmarshal parses the response.
func (r *FollowResponse) Unmarshal(data []byte) error {
	*r = FollowResponse{}
	// What isn't told is no contact.
	since, until := uint64(0), uint64(math.MaxUint64)
	err := fields.Each(data, func(number fields.Number, value uint64) {
		switch number {
		case fieldIncarnation:
			r.Incarnation = value
		case fieldSequence:
			r.Next = Sequence(value)
		case fieldPosition:
			r.Position = offsetOf(value)
		case fieldAge:
			r.Age = time.Duration(value)
		case fieldAgeKnown:
			r.AgeKnown = protowire.DecodeBool(value)
		case fieldFull:
			r.Full = protowire.DecodeBool(value)
		case fieldEra:
			r.Era = dotterelpulley.StoreEra(value)
		case fieldStoreLost:
			r.StoreLost = protowire.DecodeBool(value)
		case fieldContactSince:
			since = value
		case fieldContactUntil:
			until = value
		}
	}, func(number fields.Number, value []byte) error {
		switch number {
		case fieldConfiguration:
			r.Configuration = value
		case fieldRecord:
			order, err := unmarshalOrder(value)
			r.Records = append(r.Records, order.Record)
			return err
		case fieldOrder:
			order, err := unmarshalOrder(value)
			r.Orders = append(r.Orders, order)
			return err
		}
		return nil
	})
	if until <= since && since <= math.MaxInt64 {
		r.Contact = Contact{Since: time.Duration(since), Until: time.Duration(until), Known: true}
	}
	return err
}

// unmarshalOrder parses an order, or a record, which has no position.
func unmarshalOrder(data []byte) (Order, error) {
	var o Order
	err := fields.Each(data, func(number fields.Number, value uint64) {
		switch number {
		case fieldAfterEra:
			o.After.Era = dotterelpulley.StoreEra(value)
		case fieldAfterNext:
			o.After.Next = int64(value)
		case fieldWritten:
			o.Written = offsetOf(value)
		}
	}, func(number fields.Number, value []byte) error {
		switch number {
		case fieldKey:
			o.Key = string(value)
		case fieldValue:
			o.Value = value
		}
		return nil
	})
	return o, err
}

// offsetOf returns an offset on the wire; one that no store has counts as unknown.
func offsetOf(value uint64) int64 {
	if value > math.MaxInt64 {
		return 0
	}
	return int64(value)
}
