package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/router"
)

// applyConfiguration puts the configuration in force if its version is newer than the current one.
func (g *Gateway) applyConfiguration(record []byte, offset platform.Offset) {
	c, err := platform.DecodeConfiguration(record)
	if err != nil {
		g.event(log.ErrorLevel, "configuration-unreadable").Int64("offset", int64(offset)).Err(err).Msg("")
		return
	}
	old := g.table.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	now := time.Now()
	g.mutex.Lock()
	g.applyCaps(now, old, c)
	g.mutex.Unlock()
	g.table.Store(router.NewTable(c))
	g.changes.setConfiguration(record)
	g.metrics.Inc("configurations")
	g.event(log.InfoLevel, "configuration").Int64("version", c.Version).Int64("offset", int64(offset)).
		Int("routes", len(c.Routes)).Int("organisations", len(c.Organisations)).Msg("")
	g.updateScheduler()
}

// applyCaps sets the usage caps of the configuration; the mutex must be held.
func (g *Gateway) applyCaps(now time.Time, old *router.Table, c router.Configuration) {
	capped := map[dotterelpulley.OrganisationID]bool{}
	for _, o := range c.Organisations {
		if o.HasCap() {
			capped[o.ID] = true
			g.rationer.SetCap(now, o.ID, rationer.Cap{Rate: rationer.Amount(o.Rate), Burst: rationer.Amount(o.Burst)})
		}
	}
	if old == nil {
		return
	}
	for _, o := range old.Organisations {
		if !capped[o.ID] {
			g.rationer.RemoveCap(o.ID)
		}
	}
}
