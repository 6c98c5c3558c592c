package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/drainer"
)

const (
	// leastDrain is how long a host serves on after the signal, for callers that keep the directory's answer longest.
	leastDrain = 3200 * time.Millisecond
	// drainPart is the part of the platform's grace after which what still runs is cut off.
	drainPart = 0.93
	// streamsUntil is how long after the signal new streams are taken, as later ones may outlast the grace.
	streamsUntil = 2500 * time.Millisecond
	// drainCheck is the time between two looks at what still runs.
	drainCheck = 50 * time.Millisecond
)

// draining holds when the host began to drain.
type draining struct {
	since atomic.Int64
}

func (d *draining) begin(now time.Time) {
	d.since.CompareAndSwap(0, now.UnixNano())
}

func (d *draining) begun() bool {
	return d.since.Load() != 0
}

// late reports whether a new stream could outlast the drain.
func (d *draining) late(now time.Time) bool {
	since := d.since.Load()
	return since != 0 && now.UnixNano()-since > int64(streamsUntil)
}

// Drain takes the host out of the directory and waits until its requests have ended or the context does.
func (g *Gateway) Drain(ctx context.Context) {
	now := time.Now()
	g.drain.begin(now)
	g.peers.hurry()
	g.event(log.InfoLevel, "drain").Int64("in-flight", g.inFlight.Load()).Msg("")
	d := drainer.Drainer{Timeout: time.Duration(float64(g.bounds.Load().ShutdownGrace) * drainPart)}
	d.Signal(now)
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case tick := <-ticker.C:
			live := int(g.inFlight.Load())
			if tick.Sub(now) < leastDrain {
				// Callers that haven't asked the directory again may still come.
				live++
			}
			if d.Tick(tick, live, true) != drainer.Draining {
				g.event(log.InfoLevel, "drained").Int64("in-flight", g.inFlight.Load()).Dur("took", tick.Sub(now)).Msg("")
				return
			}
		}
	}
}
