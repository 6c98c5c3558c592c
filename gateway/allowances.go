package gateway

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// heedLimits acts on the limit and the brittleness that the endpoint of an answer names. An answer that isn't the endpoint's own
// doesn't show that a limit has ended.
func (p *proxiedRequest) heedLimits(now time.Time, e scheduler.Endpoint, metadata platform.ResponseMetadata) {
	g := p.gateway
	key := apportioner.Key(instanceOf(e))
	limitChanged, brittle := false, false
	g.mutex.Lock()
	switch {
	case metadata.HasLimit:
		limitChanged = g.apportioner.ObserveLimit(now, key, apportioner.Rate(metadata.RequestsPerSecond))
	case metadata.Signed || metadata.NotExecuted:
		limitChanged = g.apportioner.ObserveNoLimit(now, key)
	}
	if metadata.Brittle {
		brittle = g.apportioner.ObserveBrittle(now, serviceKey(p.service))
	}
	g.mutex.Unlock()
	if limitChanged {
		g.metrics.Inc("endpoint-limits")
		g.event(log.InfoLevel, "endpoint-limit").Str("endpoint", string(e.ID)).Bool("limited", metadata.HasLimit).Float64("per-second", metadata.RequestsPerSecond).Msg("")
	}
	if brittle {
		g.metrics.Inc("services-brittle")
		g.event(log.InfoLevel, "service-brittle").Str("service", string(p.service)).Str("endpoint", string(e.ID)).Msg("")
	}
	if limitChanged || brittle {
		g.updateAllowances(now)
		g.peers.sendNow()
	}
}

func serviceKey(id dotterelpulley.ServiceID) apportioner.ServiceKey {
	return apportioner.ServiceKey(scheduler.ServiceKey(id))
}

// refreshAllowances updates this host's shares if the hosts that take part, or what is known of the endpoints, have changed.
func (g *Gateway) refreshAllowances(now time.Time) {
	g.mutex.Lock()
	changed := g.apportioner.Prune(now)
	divides := g.apportioner.Divides()
	g.mutex.Unlock()
	if divides {
		changed = g.updateSharingHosts(now) || changed
	}
	if changed {
		g.updateAllowances(now)
	}
}

// updateSharingHosts updates the hosts that take part in the division and reports whether they have changed.
func (g *Gateway) updateSharingHosts(now time.Time) bool {
	hosts := g.sharingHosts(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.apportioner.SetHosts(hosts)
}

// sharingHosts returns the hosts that serve requests and reach the endpoints, sorted. A draining host does so until it has left.
func (g *Gateway) sharingHosts(now time.Time) []dotterelpulley.HostID {
	serves := func(s announcer.State) bool { return s == announcer.Serving || s == announcer.Draining }
	var hosts []dotterelpulley.HostID
	if serves(g.hostState()) && len(g.paths.lostServices()) == 0 {
		hosts = append(hosts, g.settings.Host)
	}
	for _, m := range g.peers.liveHosts(now) {
		if serves(m.State) && len(m.UnreachableServices) == 0 {
			hosts = append(hosts, m.ID)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// updateAllowances passes this host's shares of the endpoints to the scheduler.
func (g *Gateway) updateAllowances(now time.Time) {
	g.updateSharingHosts(now)
	g.allowanceUpdates.Lock()
	defer g.allowanceUpdates.Unlock()
	allowances := g.allowances(now)
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { setAllowances(now, s, allowances) })
}

func setAllowances(now time.Time, s *scheduler.Scheduler, allowances allowancesByService) {
	for _, id := range s.Services() {
		s.SetAllowances(now, id, allowances[id])
	}
}

type allowancesByService map[dotterelpulley.ServiceID]map[dotterelpulley.EndpointID]scheduler.Allowance

// allowances returns this host's shares of the endpoints that have a limit or are brittle.
func (g *Gateway) allowances(now time.Time) allowancesByService {
	g.registry.mutex.Lock()
	registrations := g.registry.Registrations()
	g.registry.mutex.Unlock()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	found := allowancesByService{}
	for _, e := range registrations {
		var a scheduler.Allowance
		key := apportioner.Key(e.Instance())
		if share, ok := g.apportioner.Share(key); ok {
			a.RateLimited, a.PerSecond = true, float64(share)
		}
		if g.apportioner.IsBrittle(now, serviceKey(e.Service)) {
			a.PlacesLimited, a.Places = true, g.apportioner.Places(key, e.Slots)
		}
		if a == (scheduler.Allowance{}) {
			continue
		}
		if found[e.Service] == nil {
			found[e.Service] = map[dotterelpulley.EndpointID]scheduler.Allowance{}
		}
		found[e.Service][e.ID] = a
	}
	return found
}

// addLimits adds to the digest what endpoints told this host of their limits.
func (g *Gateway) addLimits(now time.Time, d *announcer.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report := g.apportioner.Report(now)
	for _, l := range report.Limits {
		d.Limits = append(d.Limits, announcer.EndpointLimit{Instance: uint32(l.Key), PerSecond: float64(l.PerSecond), Lifted: l.Lifted, Age: l.Age})
	}
	for _, b := range report.Brittle {
		d.BrittleServices = append(d.BrittleServices, announcer.BrittleService{Service: uint32(b.Service), Age: b.Age})
	}
}

// learnLimits applies what endpoints told another host of their limits.
func (g *Gateway) learnLimits(now time.Time, d announcer.Digest) {
	if len(d.Limits) == 0 && len(d.BrittleServices) == 0 {
		return
	}
	var report apportioner.Report
	for _, l := range d.Limits {
		report.Limits = append(report.Limits, apportioner.Limit{Key: apportioner.Key(l.Instance), PerSecond: apportioner.Rate(l.PerSecond), Lifted: l.Lifted, Age: l.Age})
	}
	for _, b := range d.BrittleServices {
		report.Brittle = append(report.Brittle, apportioner.Brittle{Service: apportioner.ServiceKey(b.Service), Age: b.Age})
	}
	g.mutex.Lock()
	changed := g.apportioner.Receive(now, report)
	g.mutex.Unlock()
	if changed {
		g.updateAllowances(now)
	}
}
