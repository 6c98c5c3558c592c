package announcer

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// State is the state that a host reports of itself.
type State int

// The states of a host.
const (
	// Starting hosts are not ready to serve callers yet.
	Starting State = iota
	// Serving hosts accept requests.
	Serving
	// Draining hosts finish their running requests and accept no new ones.
	Draining
	// Left hosts have shut down.
	Left
)

var stateNames = [...]string{"starting", "serving", "draining", "left"}

// String returns the state's name in logs.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state-%d", int(s))
	}
	return stateNames[s]
}

// Host is the identity and the addresses of a host.
type Host struct {
	ID   dotterelpulley.HostID
	Zone dotterelpulley.ZoneID
	// PeerAddress receives digests, CallerAddress receives requests.
	PeerAddress   dotterelpulley.Address
	CallerAddress dotterelpulley.Address
}

// Digest is a host's report to its peers.
type Digest struct {
	Host
	// Start is a random number that identifies one start of the host.
	Start uint64
	// Incarnation orders the starts of the host; a host raises its own when it hears of an equal or higher one.
	Incarnation uint64
	// Sequence increases with each digest of an incarnation.
	Sequence uint64
	// Brief digests leave out the addresses, crashes, and the usage of organisations that has not changed lately.
	Brief bool
	State State
	// Configuration is the configuration version in force on the host.
	Configuration int64
	// StoreUnreachable is true if the host failed to reach the platform's store.
	StoreUnreachable bool
	// Loads is the host's running requests by endpoint.
	Loads []Load
	// Usage is what each organisation has used on the host since its start, in the unit of its cap.
	Usage map[dotterelpulley.OrganisationID]float64
	// Counted is the time since that start, sent in whole milliseconds; zero if the host doesn't tell, as builds up to de590f6.
	Counted time.Duration
	// Waiting counts the host's queued requests that can still be answered on time.
	Waiting []Waiting
	// DeadEndpoints lists the id hashes of endpoints that refuse the host's connections.
	DeadEndpoints []uint32
	// Paces is what the host has measured of some endpoints.
	Paces []Pace
	// LeavingInstances are the keys of endpoint instances that told the host they were leaving.
	LeavingInstances []uint32
	// Updates is news of the health of members.
	Updates []Update
	// Crashes lists recent endpoint crashes seen by the host, with the attempts that were running.
	Crashes []Crash
	// Parts is what the host knows of prompt parts that may have crashed endpoints.
	Parts []PartFact
	// Requests is what the host knows of whole requests that may have crashed endpoints; TellsRequests that it tells so, as builds
	// after 164c83d do, and Crashes are for earlier ones.
	Requests      []PartFact
	TellsRequests bool
	// Rollouts is what the host knows of the operators' roll-outs.
	Rollouts []Rollout
	// Limits are the limits that endpoints named to the host lately.
	Limits []EndpointLimit
	// UnreachableServices are the hashes of the services whose endpoints the host can't reach.
	UnreachableServices []uint32
	// BrittleServices are the services whose endpoints told the host that they are brittle.
	BrittleServices []BrittleService
	// Unreadable holds the parts that couldn't be read; it isn't sent.
	Unreadable []UnreadablePart
}

// Rollout is how far the roll-out of an order has come.
type Rollout struct {
	dotterelpulley.RolloutOrder
	// Era and Next are the position after the order's record.
	Era  dotterelpulley.StoreEra
	Next int64
	// Stage and Remaining are sent in whole numbers and milliseconds.
	Stage     int
	Remaining time.Duration
}

// Load counts the requests that a host runs on one endpoint.
type Load struct {
	// Key is the hash of the endpoint's id.
	Key     uint32
	Running int
	// PromptTokens is the number of prompt tokens of requests that have no first event yet.
	PromptTokens dotterelpulley.Tokens
}

// Pace is what a host has measured of one endpoint.
type Pace struct {
	// Key is the hash of the endpoint's id.
	Key uint32
	// EventInterval and PrefillPerToken are sent in whole microseconds and nanoseconds.
	EventInterval   time.Duration
	PrefillPerToken time.Duration
}

// Waiting counts the requests of one service and urgency that are queued on a host.
type Waiting struct {
	// Service is the hash of the service's id.
	Service  uint32
	Priority int
	// Rank is the priority of the route, which orders requests of one priority.
	Rank  int
	Count int
	// Oldest is the time since the turn of the first of them, which is its arrival or up to one objective earlier, sent in whole
	// milliseconds.
	Oldest time.Duration
}

// Crash reports that an endpoint crashed while it ran an attempt of a request.
type Crash struct {
	Fingerprint uint64
	Attempt     uint64
	Endpoint    uint32
}

// PartFact is the evidence of a prompt part, or of a whole request, in the crash of an endpoint instance.
type PartFact struct {
	Part     uint64
	Incident uint32
	Evidence uint8
	// Age is the time since the crash, sent in whole milliseconds.
	Age time.Duration
}

// Field numbers of a digest on the wire.
const (
	fieldHost fields.Number = iota + 1
	fieldZone
	fieldPeerAddress
	fieldCallerAddress
	fieldIncarnation
	fieldSequence
	fieldState
	fieldConfiguration
	fieldLoad
	fieldUsage
	fieldCrash
	fieldStoreUnreachable
	fieldBrief
	fieldWaiting
	fieldDeadEndpoints
	fieldStart
	fieldLeavingInstances
	fieldCorrection
	fieldPace
	fieldProbe
	fieldAck
	fieldUpdate
	fieldPartFact
	fieldRollout
	fieldEndpointLimit
	fieldBrittleService
	fieldUnreachableServices
	fieldHistoryRequest
	fieldUsageHistory
	fieldChange
	fieldRequestFact
	fieldTellsRequests
	fieldCounted
)

// Encode returns the digest in the protocol buffers wire format.
func (d Digest) Encode() []byte {
	if d.Brief {
		d.Zone, d.PeerAddress, d.CallerAddress, d.Crashes = "", "", "", nil
	}
	var b []byte
	for number, text := range map[fields.Number]string{
		fieldHost: string(d.ID), fieldZone: string(d.Zone), fieldPeerAddress: string(d.PeerAddress), fieldCallerAddress: string(d.CallerAddress),
	} {
		if text != "" {
			b = fields.AppendBytes(b, number, []byte(text))
		}
	}
	for number, value := range map[fields.Number]uint64{
		fieldIncarnation: d.Incarnation, fieldSequence: d.Sequence,
		fieldState: uint64(d.State), fieldConfiguration: uint64(d.Configuration), fieldStoreUnreachable: protowire.EncodeBool(d.StoreUnreachable),
		fieldBrief: protowire.EncodeBool(d.Brief), fieldStart: d.Start, fieldTellsRequests: protowire.EncodeBool(d.TellsRequests),
		fieldCounted: uint64(max(d.Counted, 0) / time.Millisecond),
	} {
		if value != 0 {
			b = fields.AppendNumber(b, number, value)
		}
	}
	for _, l := range d.Loads {
		b = l.append(b, fieldLoad)
	}
	for _, w := range d.Waiting {
		b = w.append(b, fieldWaiting)
	}
	for _, p := range d.Paces {
		b = appendNumbers(b, fieldPace, uint64(p.Key), uint64(p.EventInterval/time.Microsecond), uint64(p.PrefillPerToken))
	}
	for _, key := range d.DeadEndpoints {
		b = fields.AppendNumber(b, fieldDeadEndpoints, uint64(key))
	}
	for _, key := range d.UnreachableServices {
		b = fields.AppendNumber(b, fieldUnreachableServices, uint64(key))
	}
	for _, key := range d.LeavingInstances {
		b = fields.AppendNumber(b, fieldLeavingInstances, uint64(key))
	}
	for id, usage := range d.Usage {
		encoded := protowire.AppendFixed64(nil, math.Float64bits(usage))
		b = fields.AppendBytes(b, fieldUsage, append(encoded, id...))
	}
	for _, u := range d.Updates {
		encoded := protowire.AppendVarint(nil, u.Incarnation)
		encoded = protowire.AppendVarint(encoded, protowire.EncodeBool(u.Suspected))
		b = fields.AppendBytes(b, fieldUpdate, append(encoded, u.Host...))
	}
	for _, c := range d.Crashes {
		b = appendNumbers(b, fieldCrash, c.Fingerprint, c.Attempt, uint64(c.Endpoint))
	}
	for _, f := range d.Parts {
		b = f.append(b, fieldPartFact)
	}
	for _, f := range d.Requests {
		b = f.append(b, fieldRequestFact)
	}
	for _, r := range d.Rollouts {
		b = fields.AppendBytes(b, fieldRollout, r.encode())
	}
	for _, l := range d.Limits {
		b = fields.AppendBytes(b, fieldEndpointLimit, l.encode())
	}
	for _, s := range d.BrittleServices {
		b = appendNumbers(b, fieldBrittleService, uint64(s.Service), uint64(max(s.Age, 0)/time.Millisecond))
	}
	return b
}

func (l Load) append(b []byte, field fields.Number) []byte {
	return appendNumbers(b, field, uint64(l.Key), uint64(l.Running), uint64(l.PromptTokens))
}

func (f PartFact) append(b []byte, field fields.Number) []byte {
	return appendNumbers(b, field, f.Part, uint64(f.Incident), uint64(f.Evidence), uint64(max(f.Age, 0)/time.Millisecond))
}

func decodePartFact(b []byte) (PartFact, error) {
	v, err := consumeNumbers(b, 4)
	if err != nil {
		return PartFact{}, err
	}
	return PartFact{
		Part: v[0], Incident: uint32(v[1]), Evidence: uint8(min(v[2], math.MaxUint8)), Age: time.Duration(min(v[3], maxMilliseconds)) * time.Millisecond,
	}, nil
}

func decodeLoad(b []byte) (Load, error) {
	v, err := consumeNumbers(b, 3)
	if err != nil {
		return Load{}, err
	}
	return Load{Key: uint32(v[0]), Running: int(v[1]), PromptTokens: dotterelpulley.Tokens(v[2])}, nil
}

func (w Waiting) append(b []byte, field fields.Number) []byte {
	return appendNumbers(b, field, uint64(w.Service), uint64(w.Priority), uint64(w.Rank), uint64(w.Count), uint64(max(w.Oldest, 0)/time.Millisecond))
}

func decodeWaiting(b []byte) (Waiting, error) {
	const required = 4
	v, err := consumeNumbers(b, required)
	if err != nil {
		return Waiting{}, err
	}
	w := Waiting{Service: uint32(v[0]), Priority: int(v[1]), Rank: int(v[2]), Count: int(v[3])}
	// Builds before 9dca8b7 don't tell the time; without it, the work counts as the latest of its urgency.
	if v, err := consumeNumbers(b, required+1); err == nil {
		w.Oldest = time.Duration(min(v[required], maxMilliseconds)) * time.Millisecond
	}
	return w, nil
}

func appendNumbers(b []byte, field fields.Number, values ...uint64) []byte {
	var encoded []byte
	for _, v := range values {
		encoded = protowire.AppendVarint(encoded, v)
	}
	return fields.AppendBytes(b, field, encoded)
}

// decodeDigest parses an encoded digest.
func decodeDigest(b []byte) (Digest, error) {
	d := Digest{Usage: map[dotterelpulley.OrganisationID]float64{}}
	if err := fields.Each(b, d.setNumber, d.setPart); err != nil {
		return Digest{}, fmt.Errorf("decode digest: %w", err)
	}
	if d.ID == "" {
		return Digest{}, errors.New("decode digest: no host id")
	}
	return d, nil
}

func (d *Digest) setNumber(number fields.Number, value uint64) {
	switch number {
	case fieldIncarnation:
		d.Incarnation = value
	case fieldSequence:
		d.Sequence = value
	case fieldState:
		d.State = State(value)
	case fieldConfiguration:
		d.Configuration = int64(value)
	case fieldStoreUnreachable:
		d.StoreUnreachable = protowire.DecodeBool(value)
	case fieldDeadEndpoints:
		d.DeadEndpoints = append(d.DeadEndpoints, uint32(value))
	case fieldLeavingInstances:
		d.LeavingInstances = append(d.LeavingInstances, uint32(value))
	case fieldUnreachableServices:
		d.UnreachableServices = append(d.UnreachableServices, uint32(value))
	case fieldStart:
		d.Start = value
	case fieldCounted:
		d.Counted = time.Duration(min(value, maxMilliseconds)) * time.Millisecond
	case fieldTellsRequests:
		d.TellsRequests = protowire.DecodeBool(value)
	case fieldBrief:
		d.Brief = protowire.DecodeBool(value)
	}
}

// setPart sets a part of the digest; one that can't be read costs none of the others.
func (d *Digest) setPart(number fields.Number, value []byte) error {
	if err := d.setBytes(number, value); err != nil {
		d.Unreadable = append(d.Unreadable, UnreadablePart{Field: number, Err: err})
	}
	return nil
}

func (d *Digest) setBytes(number fields.Number, value []byte) error {
	switch number {
	case fieldHost:
		d.ID = dotterelpulley.HostID(value)
	case fieldZone:
		d.Zone = dotterelpulley.ZoneID(value)
	case fieldPeerAddress:
		d.PeerAddress = dotterelpulley.Address(value)
	case fieldCallerAddress:
		d.CallerAddress = dotterelpulley.Address(value)
	case fieldLoad:
		l, err := decodeLoad(value)
		if err != nil {
			return err
		}
		d.Loads = append(d.Loads, l)
	case fieldPace:
		v, err := consumeNumbers(value, 3)
		if err != nil {
			return err
		}
		d.Paces = append(d.Paces, Pace{
			Key: uint32(v[0]), EventInterval: time.Duration(min(v[1], maxMicroseconds)) * time.Microsecond, PrefillPerToken: time.Duration(min(v[2], math.MaxInt64)),
		})
	case fieldWaiting:
		w, err := decodeWaiting(value)
		if err != nil {
			return err
		}
		d.Waiting = append(d.Waiting, w)
	case fieldUsage:
		id, used, err := decodeUsage(value)
		if err != nil {
			return err
		}
		d.Usage[id] = used
	case fieldUpdate:
		incarnation, n := protowire.ConsumeVarint(value)
		if n < 0 {
			return protowire.ParseError(n)
		}
		suspected, m := protowire.ConsumeVarint(value[n:])
		if m < 0 {
			return protowire.ParseError(m)
		}
		d.Updates = append(d.Updates, Update{Host: dotterelpulley.HostID(value[n+m:]), Incarnation: incarnation, Suspected: protowire.DecodeBool(suspected)})
	case fieldRollout:
		r, err := decodeRollout(value)
		if err != nil {
			return err
		}
		d.Rollouts = append(d.Rollouts, r)
	case fieldEndpointLimit:
		l, err := decodeEndpointLimit(value)
		if err != nil {
			return err
		}
		d.Limits = append(d.Limits, l)
	case fieldBrittleService:
		v, err := consumeNumbers(value, 2)
		if err != nil {
			return err
		}
		d.BrittleServices = append(d.BrittleServices, BrittleService{Service: uint32(v[0]), Age: time.Duration(min(v[1], maxMilliseconds)) * time.Millisecond})
	case fieldCrash:
		v, err := consumeNumbers(value, 3)
		if err != nil {
			return err
		}
		d.Crashes = append(d.Crashes, Crash{Fingerprint: v[0], Attempt: v[1], Endpoint: uint32(v[2])})
	case fieldPartFact:
		fact, err := decodePartFact(value)
		if err != nil {
			return err
		}
		d.Parts = append(d.Parts, fact)
	case fieldRequestFact:
		fact, err := decodePartFact(value)
		if err != nil {
			return err
		}
		d.Requests = append(d.Requests, fact)
	}
	return nil
}

// maxMicroseconds and maxMilliseconds are the longest duration in these units.
const (
	maxMicroseconds = uint64(math.MaxInt64 / time.Microsecond)
	maxMilliseconds = uint64(math.MaxInt64 / time.Millisecond)
)

func consumeNumbers(b []byte, count int) ([]uint64, error) {
	values := make([]uint64, 0, count)
	for range count {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		values = append(values, v)
		b = b[n:]
	}
	return values, nil
}
