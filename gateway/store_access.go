package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

const (
	// standInAfter is the age of the configuration's proof from which a host reads the store itself: above the waits of a reader and a relay together,
	// well before keys can't be checked any more.
	standInAfter = 2800 * time.Millisecond
	// lostAfter is the time without an answer after which a reader's way to the store counts as lost.
	lostAfter = 900 * time.Millisecond
	// lostFor is how long that is held against it, so that the duty doesn't change back at once.
	lostFor = 5 * time.Second
	// firstHearing is how long a host that has just started waits for a reader's answer.
	firstHearing = 700 * time.Millisecond
)

// reading is this host's own way to the store.
type reading struct {
	mutex sync.Mutex
	// failing is when the calls that fail began to, lostAt when the way last counted as lost.
	failing time.Time
	lostAt  time.Time
}

func (r *reading) reached() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failing, r.lostAt = time.Time{}, time.Time{}
}

func (r *reading) failed(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.failing.IsZero() {
		r.failing = now
	}
	if now.Sub(r.failing) >= lostAfter {
		r.lostAt = now
	}
}

// isLost reports whether the way counts as lost.
func (r *reading) isLost(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.lostAt.IsZero() && now.Sub(r.lostAt) < lostFor
}

// designated reports whether this host is one of those that read for all.
func (g *Gateway) designated(now time.Time) bool {
	return slices.Contains(relayer.SelectReaders(g.readers(now)), g.settings.Host)
}

// readers returns all hosts with their ways to the store.
func (g *Gateway) readers(now time.Time) []relayer.Host {
	hosts := []relayer.Host{{
		ID: g.settings.Host, Zone: g.settings.Zone, StoreUnreachable: g.reading.isLost(now), Leaving: g.drain.begun(),
	}}
	for _, m := range g.peers.live(now) {
		hosts = append(hosts, relayer.Host{
			ID: m.ID, Zone: m.Zone, StoreUnreachable: m.StoreUnreachable, Leaving: m.State == announcer.Draining,
		})
	}
	return hosts
}

// reads reports whether this host has to read the store itself.
func (g *Gateway) reads(now time.Time) bool {
	if g.designated(now) {
		return true
	}
	age, ok := g.contact.age()
	if !ok {
		return now.Sub(g.started) > firstHearing
	}
	return age > standInAfter
}
