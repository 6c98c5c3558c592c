package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/drainer"
)

const (
	// minDrainTime is how long a host keeps serving after the signal, for callers that cache the directory's answer the longest.
	minDrainTime = 3200 * time.Millisecond
	// drainFraction is the fraction of the platform's shutdown grace after which requests still in flight are aborted.
	drainFraction = 0.93
	// streamAdmissionTime is how long after the signal new streams are admitted; later ones may outlast the grace.
	streamAdmissionTime = 2500 * time.Millisecond
	// drainCheckInterval is the time between two checks for requests in flight.
	drainCheckInterval = 50 * time.Millisecond
)

// drainState holds the time at which the host started to drain, with its reading of the steady clock.
type drainState struct {
	startedAt atomic.Pointer[time.Time]
}

func (d *drainState) start(now time.Time) {
	d.startedAt.CompareAndSwap(nil, &now)
}

func (d *drainState) started() bool {
	return d.startedAt.Load() != nil
}

// refusesStreams reports whether a new stream could outlast the drain.
func (d *drainState) refusesStreams(now time.Time) bool {
	startedAt := d.startedAt.Load()
	return startedAt != nil && now.Sub(*startedAt) > streamAdmissionTime
}

// finishTime is how long connections without a request in flight may take to end after a drain.
const finishTime = 400 * time.Millisecond

// finishCallers closes idle connections and waits for requests that arrived after the last check: to close at once would cut
// off requests that have just been accepted. Once the context is done, it ends them with an answer.
func (g *Gateway) finishCallers(ctx context.Context) {
	if g.callerServer == nil {
		return
	}
	for {
		parent, last := ctx, ctx.Err() != nil
		if last {
			g.endRequests()
			parent = g.ctx
		}
		err := g.shutdownCallers(parent)
		if err == nil {
			return
		}
		if inFlight := g.inFlight.Load(); inFlight == 0 || last || g.ctx.Err() != nil {
			g.event(log.WarnLevel, "shutdown-incomplete").Err(err).Int64("in-flight", inFlight).Msg("")
			return
		}
	}
}

// shutdownCallers stops to accept callers and waits for their connections to become idle, for finishTime at most.
func (g *Gateway) shutdownCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	return g.callerServer.Shutdown(ctx)
}

// Drain removes the host from the directory and waits until its requests have ended or the context is done.
func (g *Gateway) Drain(ctx context.Context) {
	now := time.Now()
	g.drain.start(now)
	g.peers.sendNow()
	g.event(log.InfoLevel, "drain").Int64("in-flight", g.inFlight.Load()).Msg("")
	d := drainer.Drainer{Timeout: time.Duration(float64(g.bounds.Load().ShutdownGrace) * drainFraction)}
	d.Signal(now)
	grace, cancel := context.WithDeadline(ctx, now.Add(d.Timeout))
	defer cancel()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case tick := <-ticker.C:
			inFlight := int(g.inFlight.Load())
			if tick.Sub(now) < minDrainTime {
				// Callers that haven't refreshed the directory's answer may still send requests.
				inFlight++
			}
			if d.Tick(tick, inFlight, true) != drainer.Draining {
				g.finishCallers(grace)
				g.event(log.InfoLevel, "drained").Int64("in-flight", g.inFlight.Load()).Dur("took", tick.Sub(now)).Msg("")
				return
			}
		}
	}
}
