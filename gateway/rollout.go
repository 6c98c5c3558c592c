package gateway

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

// receivedOrder is a roll-out order with the position after it, which tells it from a later order for the same version.
type receivedOrder struct {
	dotterelpulley.RolloutOrder
	after relayer.Position
}

// rolloutOrders holds the newest roll-out order of each service; the zero value is empty.
type rolloutOrders struct {
	mutex  sync.Mutex
	newest map[dotterelpulley.ServiceID]receivedOrder
}

// put replaces the service's order if it is newer.
func (r *rolloutOrders) put(o receivedOrder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.newest == nil {
		r.newest = map[dotterelpulley.ServiceID]receivedOrder{}
	}
	if known, ok := r.newest[o.Service]; !ok || known.after.Before(o.after) {
		r.newest[o.Service] = o
	}
}

// remove removes the service's order if it came before the position.
func (r *rolloutOrders) remove(service dotterelpulley.ServiceID, after relayer.Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.newest[service].after.Before(after) {
		delete(r.newest, service)
	}
}

// get returns the service's newest order.
func (r *rolloutOrders) get(service dotterelpulley.ServiceID) (receivedOrder, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o, ok := r.newest[service]
	return o, ok
}

// applyOrder keeps a roll-out order, or its withdrawal, if it is newer than the known one, and relays it to the hosts that
// follow this one. An unreadable order leaves the one before it in force.
func (g *Gateway) applyOrder(o relayer.Order) {
	service, ok := platform.RolloutService(o.Key)
	if !ok || !g.changes.putOrder(o) {
		return
	}
	number := promoter.Number{Era: o.After.Era, Next: o.After.Next}
	if len(o.Value) == 0 {
		g.rollouts.remove(service, o.After)
		g.withdrawRollout(service, number)
		g.event(log.InfoLevel, "rollout-withdrawn").Str("service", string(service)).Int64("after", o.After.Next).Msg("")
		return
	}
	order, err := platform.DecodeRolloutOrder(o.Key, o.Value)
	if err != nil {
		g.metrics.Inc("rollout-orders-unreadable")
		g.event(log.WarnLevel, "rollout-order-unreadable").Str("service", string(service)).Err(err).Msg("")
		return
	}
	g.rollouts.put(receivedOrder{RolloutOrder: order, after: o.After})
	g.event(log.InfoLevel, "rollout-order").Str("service", string(service)).Str("target", string(order.Target)).
		Dur("duration", order.Duration).Int64("after", o.After.Next).Msg("")
	g.startRollout(time.Now(), promoter.Order{RolloutOrder: order, Number: number})
}
