package mover

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// unloadDelay is how long after a move's end the other version stays loaded for requests that are still running.
	unloadDelay = 30 * time.Second
	// orderSettleTime is how long the endpoint's state may take to reflect an order before the order is sent again.
	orderSettleTime = 3 * time.Second
	minOrderBackoff = time.Second
	maxOrderBackoff = 30 * time.Second
)

// orders remembers what was sent to each endpoint, so that it is not sent again too soon.
type orders struct {
	sent map[dotterelpulley.EndpointID]sentOrder
}

type sentOrder struct {
	want    []dotterelpulley.VersionID
	fence   appender.Offset
	retryAt time.Time
	backoff time.Duration
}

// next returns the orders to send now, those of the nearest deadline first, with loads within the limit.
func (o *orders) next(now time.Time, view *View, settings Settings, fence appender.Offset) []Action {
	targets := orderTargets(now, view)
	loading := 0
	for _, e := range view.Endpoints {
		if e.Loading {
			loading++
		}
	}
	var actions []Action
	for _, target := range targets {
		if target.needsLoad && loading >= settings.LoadsAtOnce {
			continue
		}
		if target.endpoint.Loading && o.alreadySent(target, fence) || !o.due(now, target, fence) {
			continue
		}
		o.recordSent(now, target, fence)
		if target.needsLoad && !target.endpoint.Loading {
			loading++
		}
		actions = append(actions, Order{Endpoint: target.endpoint.ID, Fence: fence, Want: target.want})
	}
	return actions
}

func (o *orders) alreadySent(target orderTarget, fence appender.Offset) bool {
	last, known := o.sent[target.endpoint.ID]
	return known && last.fence == fence && slices.Equal(last.want, target.want)
}

func (o *orders) due(now time.Time, target orderTarget, fence appender.Offset) bool {
	return !o.alreadySent(target, fence) || !now.Before(o.sent[target.endpoint.ID].retryAt)
}

func (o *orders) recordSent(now time.Time, target orderTarget, fence appender.Offset) {
	if o.sent == nil {
		o.sent = map[dotterelpulley.EndpointID]sentOrder{}
	}
	backoff := minOrderBackoff
	if o.alreadySent(target, fence) {
		backoff = min(2*o.sent[target.endpoint.ID].backoff, maxOrderBackoff)
	}
	o.sent[target.endpoint.ID] = sentOrder{
		want: target.want, fence: fence, backoff: backoff, retryAt: now.Add(orderSettleTime + backoff),
	}
}

// answered brings the next attempt forward when the order failed.
func (o *orders) answered(order Order, now time.Time, err error) {
	last, known := o.sent[order.Endpoint]
	if err == nil || !known || last.fence != order.Fence {
		return
	}
	last.retryAt = now.Add(last.backoff)
	o.sent[order.Endpoint] = last
}

// keptVersions returns which of the move's builds the endpoint has loaded, to keep them while requests run.
func keptVersions(e Endpoint, m recorder.Move) []dotterelpulley.VersionID {
	var kept []dotterelpulley.VersionID
	for _, build := range []dotterelpulley.Build{m.From, m.To} {
		if e.hasLoaded(build) {
			kept = append(kept, recorder.VersionOf(build))
		}
	}
	return kept
}

func movesOf(view *View, service dotterelpulley.ServiceID) []recorder.Move {
	var found []recorder.Move
	for _, m := range view.Moves.Moves {
		if m.ID.Service == service {
			found = append(found, m)
		}
	}
	return found
}

func addVersion(to []dotterelpulley.VersionID, versions ...dotterelpulley.VersionID) []dotterelpulley.VersionID {
	for _, v := range versions {
		if !slices.Contains(to, v) {
			to = append(to, v)
		}
	}
	return to
}

func subset(part, whole []dotterelpulley.VersionID) bool {
	for _, v := range part {
		if !slices.Contains(whole, v) {
			return false
		}
	}
	return true
}

// satisfied reports whether all wanted builds are loaded and, if exact, no others.
func satisfied(loaded, want []dotterelpulley.VersionID, exact bool) bool {
	return subset(want, loaded) && (!exact || len(loaded) == len(want))
}

func loadedCount(view *View, move recorder.Move) int {
	n := 0
	for _, e := range view.serving(move.ID.Service) {
		if e.hasLoaded(move.To) {
			n++
		}
	}
	return n
}

// enoughLoaded reports whether enough endpoints for the share, at least one in every generation, have loaded the version.
func enoughLoaded(view *View, move recorder.Move, share float64) bool {
	serving := view.serving(move.ID.Service)
	if len(serving) == 0 {
		return false
	}
	loaded := map[dotterelpulley.Generation]bool{}
	for _, e := range serving {
		loaded[e.Generation] = loaded[e.Generation] || e.hasLoaded(move.To)
	}
	for _, hasLoaded := range loaded {
		if !hasLoaded {
			return false
		}
	}
	return float64(loadedCount(view, move)) >= share*float64(len(serving))
}

func stillLoaded(view *View, move recorder.Move) bool {
	for _, e := range view.serving(move.ID.Service) {
		if e.hasLoaded(move.From) {
			return true
		}
	}
	return false
}
