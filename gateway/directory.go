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
	// defaultDirectoryTTL is how long callers cache the answer; some cache it three times as long, which stays within the shutdown grace.
	defaultDirectoryTTL = time.Second
	// maxAddresses is the largest number of addresses that the platform's callers accept.
	maxAddresses = 64
	// minZoneHosts is how many hosts the caller's zone must have for the answer to name only these.
	minZoneHosts = 2
)

// directoryHandler answers callers that ask which addresses to use.
func (g *Gateway) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.DirectoryPath, func(w http.ResponseWriter, r *http.Request) {
		caller, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			caller = r.RemoteAddr
		}
		hosts := g.directoryHosts(time.Now())
		ordered := director.Director{MaxHosts: maxAddresses}.Order(director.Caller(caller), platform.CallerZone(r), hosts)
		addresses := preferZone(ordered, platform.CallerZone(r))
		if len(addresses) == 0 {
			http.Error(w, "no host takes callers", http.StatusServiceUnavailable)
			return
		}
		data, err := platform.EncodeDirectory(addresses, min(defaultDirectoryTTL, g.bounds.Load().DirectoryTTL))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if g.drain.started() {
			w.Header().Set("Connection", "close")
		}
		if _, err := w.Write(data); err != nil {
			g.metrics.Inc("directory-unsent")
		}
	})
	return mux
}

// directoryHosts returns all hosts that may be listed in the directory.
func (g *Gateway) directoryHosts(now time.Time) []director.Host {
	self := g.peers.self()
	hosts := []director.Host{{ID: self.ID, Address: self.CallerAddress, Zone: self.Zone, State: directorStateOf(g.hostState())}}
	for _, m := range g.peers.liveHosts(now) {
		hosts = append(hosts, director.Host{ID: m.ID, Address: m.CallerAddress, Zone: m.Zone, State: directorStateOf(m.State)})
	}
	return hosts
}

func directorStateOf(s announcer.State) director.State {
	switch s {
	case announcer.Serving:
		return director.Alive
	case announcer.Starting:
		return director.Suspect
	case announcer.Draining, announcer.Left:
	}
	return director.Leaving
}

// preferZone returns the addresses of the zone's hosts, or of all hosts if the zone has too few.
func preferZone(hosts []director.Host, zone dotterelpulley.ZoneID) []dotterelpulley.Address {
	var all, inZone []dotterelpulley.Address
	for _, h := range hosts {
		all = append(all, h.Address)
		if h.Zone == zone {
			inZone = append(inZone, h.Address)
		}
	}
	if len(inZone) >= minZoneHosts {
		return inZone
	}
	return all
}

// ready reports whether this host can serve callers.
func (g *Gateway) ready(now time.Time) bool {
	t := g.table.Load()
	if t == nil || g.drain.started() {
		return false
	}
	if t.RequiresKey() && !g.configurationFresh() {
		return false
	}
	usable := false
	g.queue.access(func(_ time.Time, s *scheduler.Scheduler) {
		for _, service := range t.Services {
			usable = usable || s.Usable(now, service.ID)
		}
	})
	for _, id := range g.paths.lostServices() {
		usable = usable || len(g.helpers(now, id)) > 0
	}
	return usable
}

// configurationFresh reports whether every key withdrawn longer ago than the platform's revocation limit is known to be withdrawn.
func (g *Gateway) configurationFresh() bool {
	age, ok := g.freshness.age()
	return ok && age < g.bounds.Load().RevocationLimit-revocationMargin
}

// revocationMargin covers the time from a key's check to the request's arrival at an endpoint, including its wait in the queue.
const revocationMargin = 800 * time.Millisecond

// readyHandler answers the platform's readiness checks.
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
