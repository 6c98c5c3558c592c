package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/rationer"
)

// historyRequestInterval is the time between two requests of a host that has just started for what organisations have used.
const historyRequestInterval = 500 * time.Millisecond

// requestHistory asks the sender of a digest what organisations have used before this host's start, if the sender serves
// callers and this host doesn't know yet.
func (g *Gateway) requestHistory(now time.Time, from dotterelpulley.Address, d announcer.Digest) {
	g.mutex.Lock()
	wanted := !g.without.Histories && d.State == announcer.Serving && g.rationer.LacksHistory(now) && now.Sub(g.historyRequestedAt) >= historyRequestInterval
	if wanted {
		g.historyRequestedAt = now
	}
	g.mutex.Unlock()
	if wanted {
		g.metrics.Inc("histories-requested")
		g.sendTo([]dotterelpulley.Address{from}, announcer.HistoryRequest{Host: g.settings.Host})
	}
}

// sendHistory sends what organisations have used to a host that has just started.
func (g *Gateway) sendHistory(now time.Time, to dotterelpulley.Address) {
	g.mutex.Lock()
	known := g.rationer.History(now)
	g.mutex.Unlock()
	h := announcer.UsageHistory{Known: known.Known, Slot: known.Slot, Usage: map[dotterelpulley.OrganisationID][]float64{}}
	for id, slots := range known.Usage {
		for _, amount := range slots {
			h.Usage[id] = append(h.Usage[id], float64(amount))
		}
	}
	g.sendTo([]dotterelpulley.Address{to}, h)
}

// adoptHistory learns what organisations have used before this host's start.
func (g *Gateway) adoptHistory(now time.Time, m announcer.UsageHistory) {
	h := rationer.History{Known: m.Known, Slot: m.Slot, Usage: map[dotterelpulley.OrganisationID][]rationer.Amount{}}
	for id, slots := range m.Usage {
		for _, amount := range slots {
			h.Usage[id] = append(h.Usage[id], rationer.Amount(amount))
		}
	}
	g.mutex.Lock()
	adopted := g.rationer.AdoptHistory(now, h)
	g.mutex.Unlock()
	if adopted {
		g.event(log.InfoLevel, "usage-history").Dur("known", m.Known).Int("organisations", len(m.Usage)).Msg("")
	}
}
