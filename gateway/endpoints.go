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

// entries are the endpoints' entries in the store.
type entries struct {
	mutex sync.Mutex
	byID  map[dotterelpulley.EndpointID]platform.Registration
	// doubted are entries that went while the store was away, with the time of its return.
	doubted map[dotterelpulley.EndpointID]time.Time
	// answered is when the store last answered, returned when it did so after an absence.
	answered time.Time
	returned time.Time
}

// followEndpoints keeps the endpoints that may get work.
func (g *Gateway) followEndpoints() {
	f := follower{topic: platform.EndpointsTopic}
	for g.ctx.Err() == nil {
		if !g.reads(time.Now()) {
			f.synced = false
			g.endpoints.idle()
			repeater.Sleep(g.ctx, readCheck)
			continue
		}
		records, whole, err := g.next(&f, 0)
		if err == nil {
			g.learnEndpoints(time.Now(), records, whole)
		}
		wait := endpointsEvery
		if err != nil {
			wait = g.retryAfter()
		}
		repeater.Sleep(g.ctx, wait)
	}
}

// idle notes that this host doesn't read, so that the time until it does again is no absence of the store.
func (s *entries) idle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answered = time.Time{}
}

// learnEndpoints takes records of the store in; whole tells that they are all there are.
func (g *Gateway) learnEndpoints(now time.Time, records []platform.Record, whole bool) {
	s := &g.endpoints
	s.mutex.Lock()
	if !s.answered.IsZero() && now.Sub(s.answered) > awayAfter {
		s.returned = now
	}
	s.answered = now
	changed := false
	present := map[dotterelpulley.EndpointID]bool{}
	for _, r := range records {
		id := dotterelpulley.EndpointID(r.Key)
		if len(r.Value) == 0 {
			changed = g.doubt(now, id) || changed
			continue
		}
		present[id] = true
		delete(s.doubted, id)
		changed = g.enter(id, r.Value) || changed
	}
	if whole {
		for id := range s.byID {
			if !present[id] {
				changed = g.doubt(now, id) || changed
			}
		}
	}
	for id, since := range s.doubted {
		if now.Sub(since) >= lapseGrace {
			g.drop(id)
			changed = true
		}
	}
	s.mutex.Unlock()
	if changed {
		g.place()
	}
}

// hearEndpoints takes over what a reader has decided on the endpoints.
func (g *Gateway) hearEndpoints(news relayer.Changes) {
	s := &g.endpoints
	s.mutex.Lock()
	changed := false
	present := map[dotterelpulley.EndpointID]bool{}
	for _, r := range news.Records {
		id := dotterelpulley.EndpointID(r.Key)
		if len(r.Value) == 0 {
			changed = g.drop(id) || changed
			continue
		}
		present[id] = true
		changed = g.enter(id, r.Value) || changed
	}
	if news.Full {
		for id := range s.byID {
			if !present[id] {
				changed = g.drop(id) || changed
			}
		}
	}
	s.mutex.Unlock()
	if changed {
		g.place()
	}
}

// enter takes an entry and reports whether it changes anything; the entries' mutex is held.
func (g *Gateway) enter(id dotterelpulley.EndpointID, record []byte) bool {
	s := &g.endpoints
	entry, err := platform.DecodeRegistration(id, record)
	if err != nil {
		g.metrics.Inc("entries-unreadable")
		g.event(log.WarnLevel, "entry-unreadable").Str("endpoint", string(id)).Err(err).Msg("")
		return false
	}
	if old, ok := s.byID[id]; ok && !different(old, entry) {
		return false
	}
	if s.byID == nil {
		s.byID = map[dotterelpulley.EndpointID]platform.Registration{}
		s.doubted = map[dotterelpulley.EndpointID]time.Time{}
	}
	s.byID[id] = entry
	g.news.put(relayer.Record{Key: string(id), Value: record})
	g.event(log.InfoLevel, "endpoint").Str("endpoint", string(id)).Str("service", string(entry.Service)).
		Str("address", string(entry.Address)).Str("state", entry.State.String()).Msg("")
	return true
}

// doubt takes an entry's removal and reports whether its endpoint is gone at once; the entries' mutex is held.
//
// Entries lapse while the store is away although their endpoints live, and come back soon after it.
func (g *Gateway) doubt(now time.Time, id dotterelpulley.EndpointID) bool {
	s := &g.endpoints
	entry, ok := s.byID[id]
	if !ok {
		return false
	}
	if entry.State == dotterelpulley.EndpointLive && now.Sub(s.returned) < lapseGrace {
		if _, doubted := s.doubted[id]; !doubted {
			s.doubted[id] = s.returned
		}
		return false
	}
	return g.drop(id)
}

// drop forgets an endpoint and reports whether it was known; the entries' mutex is held.
func (g *Gateway) drop(id dotterelpulley.EndpointID) bool {
	s := &g.endpoints
	if _, ok := s.byID[id]; !ok {
		return false
	}
	g.event(log.InfoLevel, "endpoint-gone").Str("endpoint", string(id)).Msg("")
	delete(s.byID, id)
	delete(s.doubted, id)
	g.news.drop(string(id))
	return true
}

func different(a, b platform.Registration) bool {
	return a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.State != b.State ||
		a.Version != b.Version || a.Slots != b.Slots || !a.StartedAt.Equal(b.StartedAt)
}

// place tells the scheduler of the endpoints of each service.
func (g *Gateway) place() {
	byService := map[dotterelpulley.ServiceID][]scheduler.Endpoint{}
	if t := g.table.Load(); t != nil {
		for _, s := range t.Services {
			byService[s.ID] = nil
		}
	}
	g.endpoints.mutex.Lock()
	for _, e := range g.endpoints.byID {
		byService[e.Service] = append(byService[e.Service], scheduler.Endpoint{
			Endpoint: e.Endpoint, Version: e.Version, Slots: e.Slots,
		})
	}
	g.endpoints.mutex.Unlock()
	g.queue.update(func(_ time.Time, s *scheduler.Scheduler) {
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
