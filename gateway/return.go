package gateway

import (
	"context"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// silentEndpoint is the endpoint of a stream that was given up while it was silent. It is sound as far as this host knows, so the
// stream may go back to it, once, if what replaced it fails and no other endpoint has a place; the zero value is none.
type silentEndpoint struct {
	id dotterelpulley.EndpointID
	// returned means that the stream has gone back.
	returned bool
}

// giveUp records that the endpoint was given up while it was silent.
func (e *silentEndpoint) giveUp(id dotterelpulley.EndpointID) {
	if !e.returned {
		e.id = id
	}
}

// canReturn reports whether the stream may go back to its silent endpoint, which is no further one for the route's limit.
func (p *proxiedRequest) canReturn() bool {
	return p.silentEndpoint.id != "" && p.route.Resumable && !p.unresumable && !p.origin.forwarded && !p.mustForward() &&
		time.Until(p.deadline) > 0 && !p.gateway.without.Repeats
}

// placeAgain takes a place at the silent endpoint, which needs no free slot: the stream has had one there.
func (p *proxiedRequest) placeAgain() (placed scheduler.Placed, ok bool) {
	id, work := p.silentEndpoint.id, p.work()
	p.silentEndpoint = silentEndpoint{returned: true}
	p.gateway.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { placed, ok = s.PlaceAgain(now, work, id) })
	if ok {
		p.gateway.metrics.Inc("returns")
	}
	return placed, ok
}

// sendBack sends the rest of a request that no further endpoint may run to its silent endpoint, if it may go back there.
func (p *proxiedRequest) sendBack(ctx context.Context) outcome {
	if !p.canReturn() {
		p.notContinued = "the route allows no further endpoint"
		return outcomeFailed
	}
	placed, ok := p.placeAgain()
	if !ok {
		p.notContinued = "the endpoint that was silent takes no requests"
		return outcomeFailed
	}
	return p.send(ctx, placed)
}
