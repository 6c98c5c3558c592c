package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// minFirstSilence and minSilence are how long a resumable stream may send no event, at least, before another endpoint is asked to
	// go on with it; maxSilence is longer than a sound endpoint falls silent.
	minFirstSilence = 1500 * time.Millisecond
	minSilence      = 1200 * time.Millisecond
	maxSilence      = 2 * time.Second
	// successorRetryInterval is the time between two searches for another endpoint or host while an answer is awaited.
	successorRetryInterval = 300 * time.Millisecond
	// refusalTime is how long an endpoint that was asked to go on with a stream may take to refuse it. After that it counts as at work,
	// and the silent one must stop, as no two endpoints may work on one request for long.
	refusalTime = 200 * time.Millisecond
	// expireNow is a time limit that ends a read at once.
	expireNow = time.Nanosecond
)

// silenceWatch asks another endpoint to go on with a stream whose endpoint is silent. Silence alone doesn't end the stream:
// its endpoint is given up only when the other one has got the request and hasn't refused it, and it goes on if it sends an event
// before that. If this host's links are lost, the stream is to go on through another host, which must have answered first.
type silenceWatch struct {
	*proxiedRequest
	ctx      context.Context
	attempt  attempt
	exchange *connector.Exchange
	// successor is the attempt that is to go on with the stream; nil if there is none.
	successor *successor
	// silent reports whether the endpoint has sent no event within the time limit.
	silent bool
	// isolated means that no other endpoint may get the request.
	isolated bool
}

// expectEvent sets the time limit of the next event.
func (w *silenceWatch) expectEvent(first bool) {
	if !w.route.Resumable || !w.canRunAgain() && !w.canReturn() || w.gateway.without.Successors {
		return
	}
	w.exchange.OnReadTimeout(w.onSilence)
	w.setLimit(silenceLimit(w.route, first))
}

// silenceLimit returns how long a stream of the route may be silent before another endpoint is asked. A sound endpoint may be silent for
// a while, so it is as long as the callers' patience allows with time left for the other endpoint's first event, which may be late.
func silenceLimit(r *router.Route, first bool) time.Duration {
	const objectivesLeft = 2
	shortest := minSilence
	if first {
		shortest = minFirstSilence
	}
	return min(max(r.Patience()-objectivesLeft*r.Objective, shortest), maxSilence)
}

func (w *silenceWatch) setLimit(limit time.Duration) {
	// The endpoint's connection may have ended meanwhile.
	if err := w.exchange.SetReadTimeout(limit); err != nil && w.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		w.gateway.metrics.Inc("silence-limits-unset")
	}
}

// onSilence starts a successor, or looks at the answer of the one started before. It reports whether to wait further for the
// silent endpoint.
func (w *silenceWatch) onSilence() bool {
	if w.successor != nil {
		if w.successor.takesOver() {
			return false
		}
		throughHost := w.successor.attempt.throughHost()
		w.dropSuccessor()
		if throughHost {
			// The same host may be the only one.
			w.setLimit(successorRetryInterval)
			return true
		}
	}
	if !w.canRunAgain() && !w.canReturn() || w.attempts >= maxEndpointAttempts || w.isolated {
		w.setLimit(0)
		return true
	}
	if !w.silent {
		w.silent = true
		w.gateway.metrics.Inc("silences")
	}
	next := w.nextSuccessor()
	if next == nil {
		w.setLimit(successorRetryInterval)
		return true
	}
	w.setLimit(0)
	w.successor = next
	next.goroutines.Go(func() {
		next.awaitWork()
		w.setLimit(expireNow)
	})
	return true
}

// nextSuccessor sends the rest of the stream's request to another endpoint, or through another host if this one's links are lost. It
// returns nil if neither is to be had now.
func (w *silenceWatch) nextSuccessor() *successor {
	if w.linksHang() {
		return w.startThroughHelper(w.ctx, w.attempt)
	}
	placed, ok := w.acquireSuccessor()
	if !ok {
		return nil
	}
	a, refused := w.startAttempt(placed)
	if refused != nil {
		// A part of the prompt was isolated meanwhile.
		w.isolated = true
		return nil
	}
	return w.startSuccessor(w.ctx, a, func(ctx context.Context, onSent func()) (*connector.Exchange, error) {
		return w.dispatch(ctx, a, onSent)
	})
}

// linksHang reports whether the stream is silent since nothing comes through this host's links any more.
func (w *silenceWatch) linksHang() bool {
	return !w.attempt.throughHost() && w.mustForward() && w.gateway.connector.Silence(time.Now()) >= linkSilence
}

// acquireSuccessor takes a retry from the budget and a place at another endpoint, or neither.
func (w *silenceWatch) acquireSuccessor() (scheduler.Placed, bool) {
	g := w.gateway
	if g.paths.lost(w.service) {
		return scheduler.Placed{}, false
	}
	if !w.reserveRepeat() {
		g.metrics.Inc("repeats-over-budget")
		return scheduler.Placed{}, false
	}
	var placed scheduler.Placed
	var ok bool
	if w.canRunAgain() {
		w.excluded[w.attempt.Endpoint.ID] = true
		placed, ok = g.queue.tryAcquire(w.work())
	}
	if !ok && w.canReturn() {
		placed, ok = w.placeAgain()
	}
	if !ok {
		w.returnRepeat()
		return scheduler.Placed{}, false
	}
	w.useRepeat()
	return placed, true
}

// eventArrived ends the successor, as the endpoint is not silent any more.
func (w *silenceWatch) eventArrived() {
	if w.silent {
		w.silent = false
		w.gateway.metrics.Inc("silences-ended")
	}
	w.Close()
}

// Close ends a successor whose answer hasn't been taken and waits for it.
func (w *silenceWatch) Close() {
	if w.successor == nil {
		return
	}
	w.successor.cancelled = true
	w.successor.cancel()
	w.successor.goroutines.Wait()
	w.dropSuccessor()
}

// dropSuccessor finishes the successor, whose answer must have come and isn't used.
func (w *silenceWatch) dropSuccessor() {
	s := w.successor
	w.successor = nil
	w.finishSuccessor(w.ctx, s)
}

// hasSuccessor reports whether the stream may go on with a successor's answer, which may not have come yet.
func (w *silenceWatch) hasSuccessor() bool {
	return w.successor != nil && w.ctx.Err() == nil
}

// takeSuccessor hands the successor over, whose answer may not have come yet.
func (w *silenceWatch) takeSuccessor() *successor {
	s := w.successor
	w.successor = nil
	return s
}
