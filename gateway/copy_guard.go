package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// rewriteGrace is how long after the store's return from a copy the operators' records may lack what the operators wrote
// last, as they write it again.
const rewriteGrace = 2 * time.Second

// copyGuard tells whether the operators' records in the store can be taken as complete. The store may return from a copy that
// lacks a configuration which withdrew keys, so that reading it proves nothing until the operators have written again. A host that
// has just started can't know whether the store has returned a moment ago, unless a record of another host in the store says so.
type copyGuard struct {
	mutex sync.Mutex
	era   dotterelpulley.StoreEra
	// since is when this host first saw the era; zero once its records are known to be complete.
	since time.Time
	// recorded is the newest era that the store records as complete.
	recorded dotterelpulley.StoreEra
}

// observe records the newest era and reports whether the store has returned from a copy while this host runs.
func (c *copyGuard) observe(now time.Time, era dotterelpulley.StoreEra) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era <= c.era {
		return false
	}
	returned := c.era != 0
	c.era, c.since = era, now
	if c.recorded == era {
		c.since = time.Time{}
	}
	return returned
}

// complete reports whether the operators' records in the store are complete.
func (c *copyGuard) complete(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.since.IsZero() || now.Sub(c.since) >= rewriteGrace
}

// noteRecorded notes that the store records the era as complete.
func (c *copyGuard) noteRecorded(era dotterelpulley.StoreEra) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recorded = max(c.recorded, era)
	if c.recorded == c.era {
		c.since = time.Time{}
	}
}

// unrecorded returns the current era, and true if the store isn't known to record it as complete.
func (c *copyGuard) unrecorded() (dotterelpulley.StoreEra, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.era, c.recorded < c.era
}

// verifyEra finds out whether the operators' records are complete, and writes once an era that they are.
func (g *Gateway) verifyEra() {
	era, unrecorded := g.copyGuard.unrecorded()
	if !unrecorded {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
	defer cancel()
	if g.copyGuard.complete(time.Now()) {
		g.writeCompleteEra(ctx, era)
	} else {
		g.readCompleteEra(ctx)
	}
}

func (g *Gateway) writeCompleteEra(ctx context.Context, era dotterelpulley.StoreEra) {
	written, err := g.store.Append(ctx, platform.ErasTopic, platform.EncodeCompleteEra(era))
	if err != nil || written != era {
		g.event(log.InfoLevel, "era-unwritten").Uint64("era", uint64(era)).Uint64("store-era", uint64(written)).Err(err).Msg("")
		return
	}
	g.copyGuard.noteRecorded(era)
}

func (g *Gateway) readCompleteEra(ctx context.Context) {
	snapshot, err := g.store.Newest(ctx, platform.ErasTopic)
	if err != nil {
		g.event(log.InfoLevel, "eras-unread").Err(err).Msg("")
		return
	}
	for _, r := range snapshot.Records {
		recorded, err := platform.DecodeCompleteEra(r)
		if err != nil {
			g.event(log.WarnLevel, "era-unreadable").Str("key", r.Key).Err(err).Msg("")
			continue
		}
		if recorded == snapshot.Era {
			g.copyGuard.noteRecorded(recorded)
		}
	}
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
