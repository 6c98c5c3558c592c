package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// holder returns the entry host that dispatches the key: the highest hash of host and key.
func (e *Entry) holder(key dotterelpulley.Key) lister.Host {
	best := lister.Host{ID: e.settings.Host}
	bestScore := score(best.ID, key)
	for _, h := range e.endpoints.entries() {
		if h.State != dotterelpulley.EndpointLive {
			continue
		}
		if s := score(h.ID, key); s > bestScore {
			best, bestScore = h, s
		}
	}
	return best
}

func score(host dotterelpulley.HostID, key dotterelpulley.Key) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + key.String())
}
