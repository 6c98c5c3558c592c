package relayer

import (
	"cmp"
	"slices"

	"github.com/dotterelpulley/dotterelpulley"
)

// Host is a host that may read the store for others.
type Host struct {
	ID   dotterelpulley.HostID
	Zone dotterelpulley.ZoneID
	// StoreUnreachable is true if the host failed to reach the store.
	StoreUnreachable bool
	// Leaving hosts do not read for other hosts.
	Leaving bool
}

const (
	// minReaders is the number of readers of a fleet of up to largeFleet hosts; a larger one has one more.
	minReaders = 2
	largeFleet = 16
)

// SelectReaders returns the hosts that read the store, spread over availability zones; hosts with the same view
// select the same readers.
func SelectReaders(hosts []Host) []dotterelpulley.HostID {
	eligible := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Leaving || h.StoreUnreachable })
	if len(eligible) == 0 {
		eligible = slices.Clone(hosts)
	}
	slices.SortFunc(eligible, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	countInZone := map[dotterelpulley.ZoneID]int{}
	rankInZone := make(map[dotterelpulley.HostID]int, len(eligible))
	for _, h := range eligible {
		rankInZone[h.ID] = countInZone[h.Zone]
		countInZone[h.Zone]++
	}
	slices.SortStableFunc(eligible, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rankInZone[a.ID], rankInZone[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	count := minReaders
	if len(hosts) > largeFleet {
		count++
	}
	var ids []dotterelpulley.HostID
	for _, h := range eligible[:min(count, len(eligible))] {
		ids = append(ids, h.ID)
	}
	return ids
}
