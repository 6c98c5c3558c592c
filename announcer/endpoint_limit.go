package announcer

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// EndpointLimit is the limit that an endpoint last named to a host.
type EndpointLimit struct {
	// Instance is the key of the endpoint's instance.
	Instance uint32
	// PerSecond is the number of requests per second from all hosts together.
	PerSecond float64
	// Lifted means that the endpoint no longer names a limit.
	Lifted bool
	// Age is the time since the observation, sent in whole milliseconds.
	Age time.Duration
}

// BrittleService is a service whose endpoints fail if they have to turn many requests away.
type BrittleService struct {
	// Service is the hash of the service's id.
	Service uint32
	// Age is the time since an endpoint last said so, sent in whole milliseconds.
	Age time.Duration
}

func (l EndpointLimit) encode() []byte {
	b := protowire.AppendFixed64(nil, math.Float64bits(l.PerSecond))
	for _, v := range []uint64{uint64(l.Instance), protowire.EncodeBool(l.Lifted), uint64(max(l.Age, 0) / time.Millisecond)} {
		b = protowire.AppendVarint(b, v)
	}
	return b
}

func decodeEndpointLimit(b []byte) (EndpointLimit, error) {
	bits, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return EndpointLimit{}, protowire.ParseError(n)
	}
	perSecond := math.Float64frombits(bits)
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return EndpointLimit{}, errors.New("the limit is no rate")
	}
	v, err := consumeNumbers(b[n:], 3)
	if err != nil {
		return EndpointLimit{}, err
	}
	return EndpointLimit{
		Instance: uint32(v[0]), PerSecond: perSecond, Lifted: protowire.DecodeBool(v[1]),
		Age: time.Duration(min(v[2], maxMilliseconds)) * time.Millisecond,
	}, nil
}
