package registrar

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Registration is an endpoint's registration in the store.
type Registration struct {
	dotterelpulley.Endpoint
	Version dotterelpulley.VersionID
	// Slots is how many requests the endpoint runs concurrently; zero if it doesn't say.
	Slots int
	// StartedAt is when the endpoint started; a restart under the same id has a later time.
	StartedAt time.Time
	// Sequence counts what the endpoint has written since its start.
	Sequence int64
	// ColdLeft is how much longer the endpoint stays slow after its start, as of the registration's writing.
	ColdLeft time.Duration
	// WarmAt is when that time is over at the latest, by this host's clock.
	WarmAt time.Time
}

// Record is a registration with its encoded form, in which it is relayed to other hosts.
type Record struct {
	Registration
	Encoded []byte
	// Written is the offset after the record in the store's log, within its era; zero if the host that relayed it doesn't tell.
	Written int64
}

// InstanceKey is the hash that identifies one start of an endpoint among hosts.
type InstanceKey uint32

// InstanceOf returns the key of the endpoint's start at that time.
func InstanceOf(id dotterelpulley.EndpointID, startedAt time.Time) InstanceKey {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.WriteString(strconv.FormatInt(startedAt.UnixMilli(), 10))
	return InstanceKey(digest.Sum64())
}

// Instance returns the key of the registration's instance.
func (r Registration) Instance() InstanceKey {
	return InstanceOf(r.ID, r.StartedAt)
}

// changes reports whether the other registration differs in more than its sequence.
func (r Registration) changes(other Registration) bool {
	return r.Service != other.Service || r.Address != other.Address || r.Zone != other.Zone || r.State != other.State ||
		r.Version != other.Version || r.Slots != other.Slots || !r.StartedAt.Equal(other.StartedAt)
}

// replaces reports whether the registration was written after the other one of the same endpoint.
func (r Registration) replaces(other Registration) bool {
	if !r.StartedAt.Equal(other.StartedAt) {
		return r.StartedAt.After(other.StartedAt)
	}
	return r.Sequence > other.Sequence
}
