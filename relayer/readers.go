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
	// StoreUnreachable hosts have tried to reach the store and failed.
	StoreUnreachable bool
	// Leaving hosts read for nobody but themselves.
	Leaving bool
}

const (
	// fewReaders read for a fleet of up to manyHosts hosts; one more reads for a larger one.
	fewReaders = 2
	manyHosts  = 16
)

// SelectReaders returns the hosts that read the store, spread over availability zones; every host with the
// same view names the same ones.
func SelectReaders(hosts []Host) []dotterelpulley.HostID {
	able := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Leaving || h.StoreUnreachable })
	if len(able) == 0 {
		able = slices.Clone(hosts)
	}
	slices.SortFunc(able, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	inZone := map[dotterelpulley.ZoneID]int{}
	places := make(map[dotterelpulley.HostID]int, len(able))
	for _, h := range able {
		places[h.ID] = inZone[h.Zone]
		inZone[h.Zone]++
	}
	slices.SortStableFunc(able, func(a, b Host) int {
		return cmp.Or(cmp.Compare(places[a.ID], places[b.ID]), cmp.Compare(a.Zone, b.Zone))
	})
	count := fewReaders
	if len(hosts) > manyHosts {
		count++
	}
	var ids []dotterelpulley.HostID
	for _, h := range able[:min(count, len(able))] {
		ids = append(ids, h.ID)
	}
	return ids
}
