package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/pathfinder"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// linkProbeTimeout is the time limit of a connection that shows whether the links to endpoints are lost, many times that
	// between two availability zones.
	linkProbeTimeout = 250 * time.Millisecond
	// linkSilence is the time without a byte from any endpoint, while requests run, after which the links are probed: a
	// connection that hangs shows nothing else.
	linkSilence = 600 * time.Millisecond
	// silenceProbeInterval is the time between two probes for silence, which long prompts at idle times cause as well.
	silenceProbeInterval = 500 * time.Millisecond
	// linkCheckInterval is the time between two looks at the links; lost ones are probed each time.
	linkCheckInterval = 200 * time.Millisecond
)

// endpointPaths tells whether this host's links to the endpoints of each service are lost; the zero value knows of none.
type endpointPaths struct {
	// probing makes failures that come together share one probe.
	probing sync.Mutex
	mutex   sync.Mutex
	pathfinder.Pathfinder
	// losses are cancelled when the links to their service are lost the next time, so that work that waits for an endpoint goes
	// through another host.
	losses map[dotterelpulley.ServiceID]loss
	// silentAt is when the links were last probed for silence; probing guards it.
	silentAt time.Time
}

// loss is a loss of links that may come.
type loss struct {
	context.Context
	notice context.CancelFunc
}

// lost reports whether the links to the service's endpoints are lost.
func (p *endpointPaths) lost(id dotterelpulley.ServiceID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.Lost(id)
}

func (p *endpointPaths) lostServices() []dotterelpulley.ServiceID {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.LostServices()
}

// done records that a request that went through the host has ended.
func (p *endpointPaths) done(id dotterelpulley.HostID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Done(id)
}

// nextLoss returns a context that is cancelled when the links to the service are lost the next time.
func (p *endpointPaths) nextLoss(id dotterelpulley.ServiceID) context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if next, ok := p.losses[id]; ok {
		return next
	}
	if p.losses == nil {
		p.losses = map[dotterelpulley.ServiceID]loss{}
	}
	ctx, notice := context.WithCancel(context.Background())
	p.losses[id] = loss{ctx, notice}
	return ctx
}

// noticeLoss cancels the context of the loss that has come; the mutex must be held.
func (p *endpointPaths) noticeLoss(id dotterelpulley.ServiceID) {
	if next, ok := p.losses[id]; ok {
		delete(p.losses, id)
		next.notice()
	}
}

// linksLost finds out, after a failure to reach an endpoint, whether the links to all endpoints of its service are lost.
func (g *Gateway) linksLost(service dotterelpulley.ServiceID, failed dotterelpulley.Address) bool {
	if g.paths.lost(service) {
		return true
	}
	g.paths.probing.Lock()
	defer g.paths.probing.Unlock()
	g.paths.mutex.Lock()
	due := g.paths.MustProbe(time.Now(), service)
	g.paths.mutex.Unlock()
	if due {
		g.probeLinks(service, failed)
	}
	return g.paths.lost(service)
}

// allLinksLost reports whether no endpoint of any service can be reached.
func (g *Gateway) allLinksLost() bool {
	for service := range g.liveAddresses() {
		if !g.linksLost(service, "") {
			return false
		}
	}
	return true
}

// probeLinks tries connections to some endpoints of the service. If it has no other one than the failed, endpoints of all
// services show whether the links are lost.
func (g *Gateway) probeLinks(service dotterelpulley.ServiceID, failed dotterelpulley.Address) {
	byService := g.liveAddresses()
	g.paths.mutex.Lock()
	first, more := g.paths.Candidates(byService[service], failed)
	if len(first) == 0 {
		var all []dotterelpulley.Address
		for _, list := range byService {
			all = append(all, list...)
		}
		first, more = g.paths.Candidates(all, failed)
	}
	wasLost := g.paths.Lost(service)
	g.paths.mutex.Unlock()
	tried, made := len(first), g.countReachable(first)
	if made == 0 && !wasLost {
		tried += len(more)
		made = g.countReachable(more)
	}
	g.paths.mutex.Lock()
	changed := g.paths.Probed(time.Now(), service, tried, made)
	lost := g.paths.Lost(service)
	if changed && lost {
		g.paths.noticeLoss(service)
	}
	g.paths.mutex.Unlock()
	if !changed {
		return
	}
	if lost {
		g.metrics.Inc("endpoints-unreachable")
		g.event(log.WarnLevel, "endpoints-unreachable").Str("service", string(service)).Int("tried", tried).Msg("")
	} else {
		g.metrics.Inc("endpoints-reached")
		g.event(log.InfoLevel, "endpoints-reached").Str("service", string(service)).Int("made", made).Msg("")
		g.useLinksAgain(service, byService[service])
	}
	g.peers.sendNow()
}

// useLinksAgain makes the endpoints of the service usable after their links were lost.
func (g *Gateway) useLinksAgain(service dotterelpulley.ServiceID, addresses []dotterelpulley.Address) {
	for _, address := range addresses {
		// Connections from before the loss may hang.
		g.connector.CloseIdle(address)
	}
	g.queue.updateAndDecide(func(_ time.Time, s *scheduler.Scheduler) { s.Unblock(service) })
}

// countReachable returns how many of the addresses accept a connection.
func (g *Gateway) countReachable(addresses []dotterelpulley.Address) int {
	ctx, cancel := context.WithTimeout(g.ctx, linkProbeTimeout)
	defer cancel()
	var made atomic.Int64
	var tries conc.WaitGroup
	for _, address := range addresses {
		tries.Go(func() {
			if g.connector.Reaches(ctx, address) {
				made.Add(1)
			}
		})
	}
	tries.Wait()
	return int(made.Load())
}

// liveAddresses returns the addresses of the live endpoints of each service.
func (g *Gateway) liveAddresses() map[dotterelpulley.ServiceID][]dotterelpulley.Address {
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	addresses := map[dotterelpulley.ServiceID][]dotterelpulley.Address{}
	for _, e := range g.registry.Registrations() {
		if e.State == dotterelpulley.EndpointLive {
			addresses[e.Service] = append(addresses[e.Service], e.Address)
		}
	}
	return addresses
}

// checkLinks probes links that are lost, and all if every endpoint is silent.
func (g *Gateway) checkLinks() {
	g.paths.probing.Lock()
	defer g.paths.probing.Unlock()
	for _, service := range g.paths.lostServices() {
		g.probeLinks(service, "")
	}
	now := time.Now()
	if g.connector.Silence(now) < linkSilence || now.Sub(g.paths.silentAt) < silenceProbeInterval {
		return
	}
	g.paths.silentAt = now
	for service := range g.liveAddresses() {
		if !g.paths.lost(service) {
			g.probeLinks(service, "")
		}
	}
}

// unreachableServices returns the hashes of the services whose links are lost.
func (g *Gateway) unreachableServices() []uint32 {
	var keys []uint32
	for _, id := range g.paths.lostServices() {
		keys = append(keys, scheduler.ServiceKey(id))
	}
	return keys
}

// helpers returns the hosts through which requests to the service may go.
func (g *Gateway) helpers(now time.Time, service dotterelpulley.ServiceID) []pathfinder.Helper {
	var helpers []pathfinder.Helper
	for _, m := range g.peers.liveHosts(now) {
		if m.State == announcer.Serving && !slices.Contains(m.UnreachableServices, scheduler.ServiceKey(service)) {
			helpers = append(helpers, pathfinder.Helper{ID: m.ID, Address: m.PeerAddress})
		}
	}
	return helpers
}
