package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/drainer"
)

const (
	// minDrainTime is how long a host keeps serving after the signal, for callers that cache the directory's answer the longest.
	minDrainTime = 3200 * time.Millisecond
	// drainFraction is the fraction of the platform's shutdown grace after which requests still in flight are aborted.
	drainFraction = 0.93
	// drainingRetryAfter makes a caller retry on another host at once.
	drainingRetryAfter = 50 * time.Millisecond
	// drainCheckInterval is the time between two checks for requests in flight.
	drainCheckInterval = 50 * time.Millisecond
)

// drainState holds the host's drain once it has started; the zero value is a host that serves.
type drainState struct {
	drain atomic.Pointer[drainer.Drain]
}

// start starts the drain unless it has started, and returns it.
func (d *drainState) start(now time.Time, timeout time.Duration) drainer.Drain {
	d.drain.CompareAndSwap(nil, &drainer.Drain{StartedAt: now, EndsAt: now.Add(timeout)})
	return *d.drain.Load()
}

func (d *drainState) started() bool {
	return d.drain.Load() != nil
}

// admits reports whether a request with the deadline may be passed on to an endpoint.
func (d *drainState) admits(now, deadline time.Time) bool {
	started := d.drain.Load()
	return started == nil || started.Admits(now, deadline)
}

// drainingRefusal returns the refusal of a request that comes too late in a drain; its caller may try another host at once.
func drainingRefusal(reason string) *refusal {
	refused := newRefusal(dotterelpulley.ErrorDraining, reason)
	refused.retryAfter = drainingRetryAfter
	return refused
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
	d := drainer.Drainer{Timeout: time.Duration(float64(g.bounds.Load().ShutdownGrace) * drainFraction)}
	endsAt := g.drain.start(now, d.Timeout).EndsAt
	g.peers.sendNow()
	g.event(log.InfoLevel, "drain").Int64("in-flight", g.inFlight.Load()).Msg("")
	d.Signal(now)
	grace, cancel := context.WithDeadline(ctx, endsAt)
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
