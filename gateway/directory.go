package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/director"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// answerLifetime is how long callers keep the answer; some keep it three times as long, within a shutdown's grace.
	answerLifetime = time.Second
	// mostAddresses is what the platform's callers take.
	mostAddresses = 64
	// leastNear is how many hosts of the caller's zone there must be for it to get these only.
	leastNear = 2
)

// directoryHandler answers callers that ask which addresses to use.
func (g *Gateway) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.DirectoryPath, func(w http.ResponseWriter, r *http.Request) {
		caller, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			caller = r.RemoteAddr
		}
		hosts := g.hosts(time.Now())
		order := director.Director{MaxHosts: mostAddresses}.Order(director.Caller(caller), platform.CallerZone(r), hosts)
		addresses := near(order, platform.CallerZone(r))
		if len(addresses) == 0 {
			http.Error(w, "no host takes callers", http.StatusServiceUnavailable)
			return
		}
		data, err := platform.EncodeDirectory(addresses, min(answerLifetime, g.bounds.Load().DirectoryTTL))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if g.drain.begun() {
			w.Header().Set("Connection", "close")
		}
		if _, err := w.Write(data); err != nil {
			g.metrics.Inc("directory-unsent")
		}
	})
	return mux
}

// hosts returns all hosts that a caller may be told of.
func (g *Gateway) hosts(now time.Time) []director.Host {
	self := g.peers.self()
	hosts := []director.Host{{ID: self.ID, Address: self.CallerAddress, Zone: self.Zone, State: stateOf(g.state())}}
	for _, m := range g.peers.live(now) {
		hosts = append(hosts, director.Host{ID: m.ID, Address: m.CallerAddress, Zone: m.Zone, State: stateOf(m.State)})
	}
	return hosts
}

func stateOf(s announcer.State) director.State {
	switch s {
	case announcer.Serving:
		return director.Alive
	case announcer.Starting:
		return director.Suspect
	case announcer.Draining, announcer.Left:
	}
	return director.Leaving
}

// near returns the addresses of the zone's hosts, or of all if too few are there.
func near(order []director.Host, zone dotterelpulley.ZoneID) []dotterelpulley.Address {
	var all, nearby []dotterelpulley.Address
	for _, h := range order {
		all = append(all, h.Address)
		if h.Zone == zone {
			nearby = append(nearby, h.Address)
		}
	}
	if len(nearby) >= leastNear {
		return nearby
	}
	return all
}

// ready reports whether this host can serve callers.
func (g *Gateway) ready(now time.Time) bool {
	t := g.table.Load()
	if t == nil || g.drain.begun() {
		return false
	}
	if t.RequiresKey() && !g.current() {
		return false
	}
	usable := false
	g.queue.note(func(_ time.Time, s *scheduler.Scheduler) {
		for _, service := range t.Services {
			usable = usable || s.Usable(now, service.ID)
		}
	})
	return usable
}

// current reports whether keys can't have been withdrawn for longer than the platform allows.
func (g *Gateway) current() bool {
	age, ok := g.contact.age()
	return ok && age < g.bounds.Load().RevocationLimit-revocationMargin
}

// revocationMargin covers the time between a key's check and the request's arrival at an endpoint, waiting included.
const revocationMargin = 800 * time.Millisecond

// readyHandler answers the platform's own checks.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready(time.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
