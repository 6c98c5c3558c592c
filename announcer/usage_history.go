package announcer

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// HistoryRequest asks a host for its UsageHistory.
type HistoryRequest struct {
	// Host is the host that asks.
	Host dotterelpulley.HostID
}

// UsageHistory is what a host knows of the usage of organisations on all hosts in the last seconds.
type UsageHistory struct {
	// Known is the time before now for which the usage is known, Slot the length of the parts into which it is divided; both
	// are sent in whole microseconds.
	Known time.Duration
	Slot  time.Duration
	// Usage is what each organisation has used in each part, the latest first, rounded to 32-bit floating-point numbers.
	Usage map[dotterelpulley.OrganisationID][]float64
}

// Encode returns the request in the protocol buffers wire format.
func (r HistoryRequest) Encode() []byte {
	return fields.AppendBytes(nil, fieldHistoryRequest, []byte(r.Host))
}

// Field numbers of a usage history and of an organisation in it on the wire.
const (
	fieldKnown fields.Number = iota + 1
	fieldSlot
	fieldOrganisation
)

const (
	fieldOrganisationID fields.Number = iota + 1
	fieldOrganisationUsage
)

// Encode returns the history in the protocol buffers wire format.
func (h UsageHistory) Encode() []byte {
	b := fields.AppendNumber(nil, fieldKnown, uint64(max(h.Known, 0)/time.Microsecond))
	b = fields.AppendNumber(b, fieldSlot, uint64(max(h.Slot, 0)/time.Microsecond))
	for id, slots := range h.Usage {
		var used []byte
		for _, amount := range slots {
			used = protowire.AppendFixed32(used, math.Float32bits(float32(amount)))
		}
		encoded := fields.AppendBytes(nil, fieldOrganisationID, []byte(id))
		encoded = fields.AppendBytes(encoded, fieldOrganisationUsage, used)
		b = fields.AppendBytes(b, fieldOrganisation, encoded)
	}
	return fields.AppendBytes(nil, fieldUsageHistory, b)
}

func decodeHistoryRequest(b []byte) (Message, error) {
	return HistoryRequest{Host: dotterelpulley.HostID(b)}, nil
}

func decodeUsageHistory(b []byte) (Message, error) {
	h := UsageHistory{Usage: map[dotterelpulley.OrganisationID][]float64{}}
	err := fields.Each(b, func(n fields.Number, v uint64) {
		switch n {
		case fieldKnown:
			h.Known = time.Duration(min(v, maxMicroseconds)) * time.Microsecond
		case fieldSlot:
			h.Slot = time.Duration(min(v, maxMicroseconds)) * time.Microsecond
		}
	}, func(n fields.Number, v []byte) error {
		if n != fieldOrganisation {
			return nil
		}
		id, slots, err := decodeOrganisationUsage(v)
		if err == nil {
			h.Usage[id] = slots
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("decode usage history: %w", err)
	}
	return h, nil
}

func decodeOrganisationUsage(b []byte) (id dotterelpulley.OrganisationID, slots []float64, err error) {
	err = fields.Each(b, func(fields.Number, uint64) {}, func(n fields.Number, v []byte) error {
		switch n {
		case fieldOrganisationID:
			id = dotterelpulley.OrganisationID(v)
		case fieldOrganisationUsage:
			for len(v) > 0 {
				bits, n := protowire.ConsumeFixed32(v)
				if n < 0 {
					return protowire.ParseError(n)
				}
				amount := float64(math.Float32frombits(bits))
				if math.IsNaN(amount) || math.IsInf(amount, 0) {
					return fmt.Errorf("usage of %q is no number", id)
				}
				slots, v = append(slots, amount), v[n:]
			}
		}
		return nil
	})
	return id, slots, err
}
