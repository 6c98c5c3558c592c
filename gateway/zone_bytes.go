package gateway

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
)

// countZoneBytes counts bytes that go to another availability zone, or come from there, by their cause. Headers of the
// transport aren't included.
func (g *Gateway) countZoneBytes(cause string, other dotterelpulley.ZoneID, n int) {
	if other != "" && other != g.settings.Zone {
		g.metrics.Add("zone-bytes-"+cause, n)
	}
}

// messageCause returns the cause under which a message to another host counts.
func messageCause(m announcer.Message) string {
	switch m.(type) {
	case announcer.Digest, announcer.Correction:
		return "digests"
	case announcer.Change:
		return "changes"
	case announcer.Probe, announcer.Ack:
		return "probes"
	case announcer.HistoryRequest, announcer.UsageHistory:
		return "histories"
	}
	return "others"
}

// countMessageBytes counts a message to the targets.
func (g *Gateway) countMessageBytes(targets []dotterelpulley.Address, m announcer.Message, n int) {
	cause := messageCause(m)
	g.peers.mutex.Lock()
	defer g.peers.mutex.Unlock()
	for _, target := range targets {
		g.countZoneBytes(cause, g.peers.announcer.Zone(target), n)
	}
}
