package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// DefaultSubset is the number of endpoints of a service that one host uses.
const DefaultSubset = 64

// HostPosition is a host's rank among the live entry hosts, ordered by name.
type HostPosition struct {
	Rank  int
	Hosts int
}

// Subset returns the host's window of size endpoints on a ring of all of them, ordered by hash;
// window starts are spaced evenly, so that the hosts cover the endpoints evenly.
func Subset(all []dotterelpulley.Endpoint, position HostPosition, size int) []dotterelpulley.Endpoint {
	if size <= 0 {
		size = DefaultSubset
	}
	if len(all) <= size || position.Hosts <= 1 {
		return all
	}
	size = max(size, (len(all)+position.Hosts-1)/position.Hosts)
	ring := slices.Clone(all)
	slices.SortFunc(ring, func(a, b dotterelpulley.Endpoint) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	window := make([]dotterelpulley.Endpoint, 0, size)
	start := position.Rank * len(ring) / position.Hosts
	for i := range size {
		window = append(window, ring[(start+i)%len(ring)])
	}
	return window
}
