package gateway

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// endpointRegistry holds the endpoints' registrations in the store.
type endpointRegistry struct {
	mutex sync.Mutex
	byID  map[dotterelpulley.EndpointID]platform.Registration
	// pendingRemovals are registrations that disappeared during a store outage, with the time at which the store was reachable again.
	pendingRemovals map[dotterelpulley.EndpointID]time.Time
	// answeredAt is when the store last answered; restoredAt is when its last outage ended.
	answeredAt time.Time
	restoredAt time.Time
}

// followEndpoints keeps the endpoint registrations up to date.
func (g *Gateway) followEndpoints() {
	reader := topicReader{topic: platform.EndpointsTopic}
	for g.ctx.Err() == nil {
		if !g.mustReadStore(time.Now()) {
			reader.synced = false
			g.registry.pauseReading()
			repeater.Sleep(g.ctx, readCheckInterval)
			continue
		}
		records, complete, err := g.readNext(&reader, 0)
		if err == nil {
			g.applyStoreRecords(time.Now(), records, complete)
		}
		wait := endpointsReadInterval
		if err != nil {
			wait = g.retryDelay()
		}
		repeater.Sleep(g.ctx, wait)
	}
}

// pauseReading records that this host stops reading, so that the time until it reads again doesn't count as a store outage.
func (r *endpointRegistry) pauseReading() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.answeredAt = time.Time{}
}

// applyStoreRecords applies records read from the store; complete means that they are all records of the topic.
func (g *Gateway) applyStoreRecords(now time.Time, records []platform.Record, complete bool) {
	registry := &g.registry
	registry.mutex.Lock()
	if !registry.answeredAt.IsZero() && now.Sub(registry.answeredAt) > storeOutageThreshold {
		registry.restoredAt = now
	}
	registry.answeredAt = now
	changed := false
	present := map[dotterelpulley.EndpointID]bool{}
	for _, r := range records {
		id := dotterelpulley.EndpointID(r.Key)
		if len(r.Value) == 0 {
			changed = g.markRemoved(now, id) || changed
			continue
		}
		present[id] = true
		delete(registry.pendingRemovals, id)
		changed = g.register(id, r.Value) || changed
	}
	if complete {
		for id := range registry.byID {
			if !present[id] {
				changed = g.markRemoved(now, id) || changed
			}
		}
	}
	for id, since := range registry.pendingRemovals {
		if now.Sub(since) >= expiryGrace {
			g.removeEndpoint(id)
			changed = true
		}
	}
	registry.mutex.Unlock()
	if changed {
		g.updateScheduler()
	}
}

// applyReaderChanges applies the endpoint changes received from a reader.
func (g *Gateway) applyReaderChanges(changes relayer.Changes) {
	registry := &g.registry
	registry.mutex.Lock()
	changed := false
	present := map[dotterelpulley.EndpointID]bool{}
	for _, r := range changes.Records {
		id := dotterelpulley.EndpointID(r.Key)
		if len(r.Value) == 0 {
			changed = g.removeEndpoint(id) || changed
			continue
		}
		present[id] = true
		changed = g.register(id, r.Value) || changed
	}
	if changes.Full {
		for id := range registry.byID {
			if !present[id] {
				changed = g.removeEndpoint(id) || changed
			}
		}
	}
	registry.mutex.Unlock()
	if changed {
		g.updateScheduler()
	}
}

// register applies a registration and reports whether it changes anything; the registry's mutex must be held.
func (g *Gateway) register(id dotterelpulley.EndpointID, record []byte) bool {
	registry := &g.registry
	registration, err := platform.DecodeRegistration(id, record)
	if err != nil {
		g.metrics.Inc("entries-unreadable")
		g.event(log.WarnLevel, "entry-unreadable").Str("endpoint", string(id)).Err(err).Msg("")
		return false
	}
	if old, ok := registry.byID[id]; ok && !registrationChanged(old, registration) {
		return false
	}
	if registry.byID == nil {
		registry.byID = map[dotterelpulley.EndpointID]platform.Registration{}
		registry.pendingRemovals = map[dotterelpulley.EndpointID]time.Time{}
	}
	registry.byID[id] = registration
	g.changes.put(relayer.Record{Key: string(id), Value: record})
	g.event(log.InfoLevel, "endpoint").Str("endpoint", string(id)).Str("service", string(registration.Service)).
		Str("address", string(registration.Address)).Str("state", registration.State.String()).Msg("")
	return true
}

// markRemoved handles a registration's removal and reports whether its endpoint is removed at once; the registry's mutex must be held.
//
// Registrations expire during a store outage although their endpoints are running, and are renewed soon after it.
func (g *Gateway) markRemoved(now time.Time, id dotterelpulley.EndpointID) bool {
	registry := &g.registry
	registration, ok := registry.byID[id]
	if !ok {
		return false
	}
	if registration.State == dotterelpulley.EndpointLive && now.Sub(registry.restoredAt) < expiryGrace {
		if _, pending := registry.pendingRemovals[id]; !pending {
			registry.pendingRemovals[id] = registry.restoredAt
		}
		return false
	}
	return g.removeEndpoint(id)
}

// removeEndpoint removes an endpoint and reports whether it was known; the registry's mutex must be held.
func (g *Gateway) removeEndpoint(id dotterelpulley.EndpointID) bool {
	registry := &g.registry
	if _, ok := registry.byID[id]; !ok {
		return false
	}
	g.event(log.InfoLevel, "endpoint-gone").Str("endpoint", string(id)).Msg("")
	delete(registry.byID, id)
	delete(registry.pendingRemovals, id)
	g.changes.remove(string(id))
	return true
}

func registrationChanged(a, b platform.Registration) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.State != b.State ||
		a.Version != b.Version || a.Slots != b.Slots || !a.StartedAt.Equal(b.StartedAt)
}

// updateScheduler passes the current endpoints of each service to the scheduler.
func (g *Gateway) updateScheduler() {
	byService := map[dotterelpulley.ServiceID][]scheduler.Endpoint{}
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services {
			byService[s.ID] = nil
		}
	}
	g.registry.mutex.Lock()
	for _, e := range g.registry.byID {
		byService[e.Service] = append(byService[e.Service], scheduler.Endpoint{
			Endpoint: e.Endpoint, Version: e.Version, Slots: e.Slots,
		})
	}
	g.registry.mutex.Unlock()
	g.queue.updateAndDecide(func(_ time.Time, s *scheduler.Scheduler) {
		for _, id := range s.Services() {
			if _, ok := byService[id]; !ok {
				byService[id] = nil
			}
		}
		for id, endpoints := range byService {
			s.SetEndpoints(id, endpoints)
		}
	})
}
