package gateway

import (
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// maxUnreadableLogged bounds the parts that are logged as unreadable.
const maxUnreadableLogged = 1024

// unreadableKey is a kind of part that can't be read in what a host writes.
type unreadableKey struct {
	host  dotterelpulley.HostID
	field fields.Number
}

// reportUnreadable counts the parts of the digest that can't be read and logs each kind of part once for each host.
func (g *Gateway) reportUnreadable(d announcer.Digest) {
	for _, part := range d.Unreadable {
		g.metrics.Inc("digest-parts-unreadable")
		key := unreadableKey{host: d.ID, field: part.Field}
		if g.peers.unreadable[key] || len(g.peers.unreadable) >= maxUnreadableLogged {
			continue
		}
		if g.peers.unreadable == nil {
			g.peers.unreadable = map[unreadableKey]bool{}
		}
		g.peers.unreadable[key] = true
		g.event(log.WarnLevel, "digest-part-unreadable").Str("peer", string(d.ID)).Int("field", int(part.Field)).Err(part.Err).Msg("")
	}
}
