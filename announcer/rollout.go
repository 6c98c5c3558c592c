package announcer

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// Field numbers of a roll-out on the wire.
const (
	fieldRolloutService fields.Number = iota + 1
	fieldRolloutTarget
	fieldRolloutDuration
	fieldRolloutEra
	fieldRolloutNext
	fieldRolloutStage
	fieldRolloutRemaining
)

func (r Rollout) encode() []byte {
	b := fields.AppendBytes(nil, fieldRolloutService, []byte(r.Service))
	b = fields.AppendBytes(b, fieldRolloutTarget, []byte(r.Target))
	b = fields.AppendNumber(b, fieldRolloutDuration, uint64(r.Duration))
	b = fields.AppendNumber(b, fieldRolloutEra, uint64(r.Era))
	b = fields.AppendNumber(b, fieldRolloutNext, uint64(r.Next))
	b = fields.AppendNumber(b, fieldRolloutStage, uint64(r.Stage))
	return fields.AppendNumber(b, fieldRolloutRemaining, uint64(r.Remaining/time.Millisecond))
}

func decodeRollout(b []byte) (Rollout, error) {
	var r Rollout
	err := fields.Each(b, func(n fields.Number, v uint64) {
		switch n {
		case fieldRolloutDuration:
			r.Duration = time.Duration(min(v, math.MaxInt64))
		case fieldRolloutEra:
			r.Era = dotterelpulley.StoreEra(v)
		case fieldRolloutNext:
			r.Next = int64(min(v, math.MaxInt64))
		case fieldRolloutStage:
			r.Stage = int(min(v, math.MaxInt32))
		case fieldRolloutRemaining:
			r.Remaining = time.Duration(min(v, maxMilliseconds)) * time.Millisecond
		}
	}, func(n fields.Number, v []byte) error {
		switch n {
		case fieldRolloutService:
			r.Service = dotterelpulley.ServiceID(v)
		case fieldRolloutTarget:
			r.Target = dotterelpulley.VersionID(v)
		}
		return nil
	})
	return r, err
}
