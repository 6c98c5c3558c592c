package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/registrar"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// endpointRegistry holds the endpoints' registrations.
type endpointRegistry struct {
	mutex sync.Mutex
	registrar.Registrar
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
		read, err := g.readNext(&reader, 0)
		if err != nil {
			g.registry.noteFailure()
			repeater.Sleep(g.ctx, g.retryDelay())
			continue
		}
		g.applyStoreRecords(time.Now(), read)
		repeater.Sleep(g.ctx, g.registry.readDelay(time.Now()))
	}
}

// noteFailure records that the store did not answer this host.
func (r *endpointRegistry) noteFailure() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.NoteFailure()
}

// registrations returns all registrations.
func (r *endpointRegistry) registrations() []registrar.Registration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Registrations()
}

// pending returns the registrations that are kept although the store lacks them.
func (r *endpointRegistry) pending() registrar.PendingRemovals {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Pending()
}

// contact returns the latest contact of any host with the store.
func (r *endpointRegistry) contact() registrar.Contact {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Contact()
}

// readDelay returns the time until the next read, the last of which comes just before a missing registration is removed.
func (r *endpointRegistry) readDelay(now time.Time) time.Duration {
	pending := r.pending()
	last := pending.Until.Add(-lastReadLead).Sub(now)
	if len(pending.Endpoints) == 0 || last <= 0 {
		return endpointsReadInterval
	}
	return min(last, endpointsReadInterval)
}

// pauseReading records that this host stops reading, so that the time until it reads again doesn't count as a store outage.
func (r *endpointRegistry) pauseReading() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.PauseReading()
}

// complete reports whether all registrations have been read once.
func (r *endpointRegistry) complete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Complete()
}

// position returns the offset up to which the endpoints' records are known.
func (r *endpointRegistry) position() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Position()
}

// dateRecords sets the offsets of the records to those of the endpoints' latest ones.
func (r *endpointRegistry) dateRecords(records []relayer.Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range records {
		records[i].Written = max(records[i].Written, r.Written(dotterelpulley.EndpointID(records[i].Key)))
	}
}

// applyStoreRecords applies records read from the store.
func (g *Gateway) applyStoreRecords(now time.Time, read topicRecords) {
	batch := registrar.Batch{Era: read.era, Complete: read.complete, Position: int64(read.next)}
	for _, r := range read.records {
		g.addRecord(&batch, relayer.Record{Key: r.Key, Value: r.Value, Written: int64(r.Offset) + 1})
	}
	g.changeEndpoints(func() []registrar.Change { return g.registry.ApplyStore(now, batch) })
}

// applyReaderChanges applies the endpoint changes received from a reader and reports whether the reader is up to date.
func (g *Gateway) applyReaderChanges(now time.Time, relayed *relayer.FollowResponse) (current bool) {
	batch := registrar.Batch{Era: relayed.Era, Complete: relayed.Full, Position: relayed.Position}
	for _, r := range relayed.Records {
		g.addRecord(&batch, r)
	}
	g.changeEndpoints(func() (changes []registrar.Change) {
		changes, current = g.registry.ApplyPeer(now, batch)
		return changes
	})
	return current
}

// changeEndpoints applies a change to the registrations and passes its consequences on.
func (g *Gateway) changeEndpoints(change func() []registrar.Change) {
	g.registry.mutex.Lock()
	before := g.registry.Pending()
	changes := change()
	g.logPending(before, g.registry.Pending())
	g.relayEndpointChanges(changes)
	g.registry.mutex.Unlock()
	if len(changes) > 0 {
		g.updateScheduler()
	}
}

// logPending logs that the store may have been out, and which endpoints are kept although it lacks them.
func (g *Gateway) logPending(before, after registrar.PendingRemovals) {
	if after.ReturnedAt.After(before.ReturnedAt) {
		g.metrics.Inc("outages-suspected")
		g.event(log.InfoLevel, "outage-suspected").Msg("")
	}
	for _, id := range after.Endpoints {
		if !slices.Contains(before.Endpoints, id) {
			g.metrics.Inc("endpoints-kept")
			g.event(log.InfoLevel, "endpoint-kept").Str("endpoint", string(id)).Dur("returned-before", time.Since(after.ReturnedAt)).Msg("")
		}
	}
}

// addRecord decodes a record, which removes its key if it is empty, into the batch in place of earlier ones of its key.
func (g *Gateway) addRecord(batch *registrar.Batch, r relayer.Record) {
	id := dotterelpulley.EndpointID(r.Key)
	batch.Removed = slices.DeleteFunc(batch.Removed, func(other dotterelpulley.EndpointID) bool { return other == id })
	batch.Records = slices.DeleteFunc(batch.Records, func(other registrar.Record) bool { return other.ID == id })
	if len(r.Value) == 0 {
		batch.Removed = append(batch.Removed, id)
		return
	}
	registration, err := platform.DecodeRegistration(id, r.Value)
	if err != nil {
		g.metrics.Inc("entries-unreadable")
		g.event(log.WarnLevel, "entry-unreadable").Str("endpoint", r.Key).Err(err).Msg("")
		batch.Unreadable = append(batch.Unreadable, id)
		return
	}
	registration.WarmAt = time.Now().Add(registration.ColdLeft)
	batch.Records = append(batch.Records, registrar.Record{Registration: registration, Encoded: r.Value, Written: r.Written})
}

// relayEndpointChanges passes changes on to the hosts that follow this one; the registry's mutex must be held.
func (g *Gateway) relayEndpointChanges(changes []registrar.Change) {
	for _, c := range changes {
		if c.Removed {
			g.changes.remove(string(c.ID))
			g.event(log.InfoLevel, "endpoint-gone").Str("endpoint", string(c.ID)).Msg("")
			continue
		}
		g.changes.put(relayer.Record{Key: string(c.ID), Value: c.Encoded, Written: c.Written})
		g.event(log.InfoLevel, "endpoint").Str("endpoint", string(c.ID)).Str("service", string(c.Service)).
			Str("address", string(c.Address)).Str("state", c.State.String()).Msg("")
	}
}

// updateScheduler passes the current endpoints of each service to the scheduler.
func (g *Gateway) updateScheduler() {
	byService := map[dotterelpulley.ServiceID][]scheduler.Endpoint{}
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services {
			byService[s.ID] = nil
		}
	}
	g.allowanceUpdates.Lock()
	defer g.allowanceUpdates.Unlock()
	g.registry.mutex.Lock()
	for _, e := range g.registry.Registrations() {
		byService[e.Service] = append(byService[e.Service], scheduler.Endpoint{
			Endpoint: e.Endpoint, Version: e.Version, Slots: e.Slots, StartedAt: e.StartedAt, WarmAt: e.WarmAt,
		})
	}
	g.registry.mutex.Unlock()
	allowances := g.allowances(time.Now())
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) {
		for _, id := range s.Services() {
			if _, ok := byService[id]; !ok {
				byService[id] = nil
			}
		}
		for id, endpoints := range byService {
			s.SetEndpoints(id, endpoints)
		}
		setAllowances(now, s, allowances)
	})
	g.updateSplits(time.Now())
}
