package mover

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// dropDelay is how long after a move's end the other version stays loaded for requests that are still running.
	dropDelay = 30 * time.Second
	// orderSettle is how long the endpoint's state may take to reflect an order before the order is sent again.
	orderSettle     = 3 * time.Second
	firstOrderRetry = time.Second
	lastOrderRetry  = 30 * time.Second
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
	wishes := wishes(now, view)
	loading := 0
	for _, e := range view.Endpoints {
		if e.Loading {
			loading++
		}
	}
	var actions []Action
	for _, w := range wishes {
		if w.loads && loading >= settings.LoadsAtOnce {
			continue
		}
		if w.endpoint.Loading && o.same(w, fence) || !o.due(now, w, fence) {
			continue
		}
		o.remember(now, w, fence)
		if w.loads && !w.endpoint.Loading {
			loading++
		}
		actions = append(actions, Order{Endpoint: w.endpoint.ID, Fence: fence, Want: w.want})
	}
	return actions
}

func (o *orders) same(w wish, fence appender.Offset) bool {
	last, known := o.sent[w.endpoint.ID]
	return known && last.fence == fence && slices.Equal(last.want, w.want)
}

func (o *orders) due(now time.Time, w wish, fence appender.Offset) bool {
	return !o.same(w, fence) || !now.Before(o.sent[w.endpoint.ID].retryAt)
}

func (o *orders) remember(now time.Time, w wish, fence appender.Offset) {
	if o.sent == nil {
		o.sent = map[dotterelpulley.EndpointID]sentOrder{}
	}
	backoff := firstOrderRetry
	if o.same(w, fence) {
		backoff = min(2*o.sent[w.endpoint.ID].backoff, lastOrderRetry)
	}
	o.sent[w.endpoint.ID] = sentOrder{
		want: w.want, fence: fence, backoff: backoff, retryAt: now.Add(orderSettle + backoff),
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
		if e.has(build) {
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

func satisfied(loaded, want []dotterelpulley.VersionID, exact bool) bool {
	return subset(want, loaded) && (!exact || len(loaded) == len(want))
}

func loadedCount(view *View, move recorder.Move) int {
	n := 0
	for _, e := range view.serving(move.ID.Service) {
		if e.has(move.To) {
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
		loaded[e.Generation] = loaded[e.Generation] || e.has(move.To)
	}
	for _, has := range loaded {
		if !has {
			return false
		}
	}
	return float64(loadedCount(view, move)) >= share*float64(len(serving))
}

func stillLoaded(view *View, move recorder.Move) bool {
	for _, e := range view.serving(move.ID.Service) {
		if e.has(move.From) {
			return true
		}
	}
	return false
}
