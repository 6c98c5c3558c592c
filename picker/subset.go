package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// DefaultSubset is how many endpoints of a service one host uses.
const DefaultSubset = 64

// HostPosition is a host's place among the live entry hosts, in the order of their names.
type HostPosition struct {
	Rank  int
	Hosts int
}

// Subset returns the window of size endpoints that belongs to the host's place on the ring of all;
// windows start evenly, so that hosts cover the endpoints evenly.
func Subset(all []dotterelpulley.Endpoint, place HostPosition, size int) []dotterelpulley.Endpoint {
	if size <= 0 {
		size = DefaultSubset
	}
	if len(all) <= size || place.Hosts <= 1 {
		return all
	}
	size = max(size, (len(all)+place.Hosts-1)/place.Hosts)
	ring := slices.Clone(all)
	slices.SortFunc(ring, func(a, b dotterelpulley.Endpoint) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	window := make([]dotterelpulley.Endpoint, 0, size)
	start := place.Rank * len(ring) / place.Hosts
	for i := range size {
		window = append(window, ring[(start+i)%len(ring)])
	}
	return window
}
