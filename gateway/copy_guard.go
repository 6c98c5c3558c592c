package gateway

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
)

// rewriteGrace is how long after the store's return from a copy the operators' records may lack what the operators wrote
// last, as they write it again.
const rewriteGrace = 2 * time.Second

// copyGuard tells whether the operators' records in the store can be taken as complete. The store may return from a copy that
// lacks a configuration which withdrew keys, so that reading it proves nothing until the operators have written again.
type copyGuard struct {
	mutex sync.Mutex
	era   dotterelpulley.StoreEra
	// returnedAt is when the store was first seen in a later era; zero if it never was.
	returnedAt time.Time
}

// observe records the newest era and reports whether the store has returned from a copy.
func (c *copyGuard) observe(now time.Time, era dotterelpulley.StoreEra) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era <= c.era {
		return false
	}
	returned := c.era != 0
	c.era = era
	if returned {
		c.returnedAt = now
	}
	return returned
}

// complete reports whether the operators' records in the store are complete.
func (c *copyGuard) complete(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.returnedAt.IsZero() || now.Sub(c.returnedAt) >= rewriteGrace
}

// noteEra handles the store's return from a copy.
func (g *Gateway) noteEra(now time.Time) {
	era := g.store.Era()
	if !g.copyGuard.observe(now, era) {
		return
	}
	g.metrics.Inc("store-eras")
	g.event(log.WarnLevel, "store-era").Uint64("era", uint64(era)).Msg("")
	g.registration.renew()
	g.keepAllIsolated(now)
}
