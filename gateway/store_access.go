package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

const (
	// fallbackReadAge is the age of the last confirmation from which a host reads the store itself: longer than the waits of a reader and a relay
	// together, well before keys can't be checked any more.
	fallbackReadAge = 2800 * time.Millisecond
	// storeLostThreshold is the time for which a reader's calls have to fail until its access to the store counts as lost.
	storeLostThreshold = 400 * time.Millisecond
	// storeLostHold is how long lost access disqualifies a reader, so that readers don't alternate.
	storeLostHold = 5 * time.Second
	// startupRelayWait is how long a host that has just started waits for a reader's answer.
	startupRelayWait = 700 * time.Millisecond
)

// storeAccess tracks whether this host can reach the store.
type storeAccess struct {
	mutex sync.Mutex
	// failingSince is when the current series of failed calls started; lostAt is when access last counted as lost.
	failingSince time.Time
	lostAt       time.Time
}

func (s *storeAccess) succeeded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failingSince, s.lostAt = time.Time{}, time.Time{}
}

func (s *storeAccess) failed(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	if now.Sub(s.failingSince) >= storeLostThreshold {
		s.lostAt = now
	}
}

// lost records that access is lost.
func (s *storeAccess) lost(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lostAt = now
}

// isLost reports whether access counts as lost.
func (s *storeAccess) isLost(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.lostAt.IsZero() && now.Sub(s.lostAt) < storeLostHold
}

// readerSelection keeps the designated readers for a short time, as several loops ask for them many times a second and a
// selection looks at all hosts.
type readerSelection struct {
	mutex      sync.Mutex
	readers    []dotterelpulley.HostID
	selectedAt time.Time
}

const (
	// selectionLifetime is how long a selection is kept in a fleet of more than smallFleet hosts.
	selectionLifetime = 200 * time.Millisecond
	smallFleet        = 16
)

// expire makes the next question select anew.
func (s *readerSelection) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.selectedAt = time.Time{}
}

// selectReaders returns the designated readers of the store.
func (g *Gateway) selectReaders(now time.Time) []dotterelpulley.HostID {
	s := &g.readers
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.selectedAt.IsZero() || now.Sub(s.selectedAt) >= selectionLifetime || g.peers.knownHosts() <= smallFleet {
		s.readers, s.selectedAt = relayer.SelectReaders(g.readerCandidates(now)), now
	}
	return s.readers
}

// isReader reports whether this host is one of the designated readers of the store.
func (g *Gateway) isReader(now time.Time) bool {
	return slices.Contains(g.selectReaders(now), g.settings.Host)
}

// readerCandidates returns all hosts with the state of their access to the store.
func (g *Gateway) readerCandidates(now time.Time) []relayer.Host {
	hosts := []relayer.Host{{
		ID: g.settings.Host, Zone: g.settings.Zone, StoreUnreachable: g.storeAccess.isLost(now), Leaving: g.drain.started(),
	}}
	for _, m := range g.peers.liveHosts(now) {
		hosts = append(hosts, relayer.Host{
			ID: m.ID, Zone: m.Zone, StoreUnreachable: m.StoreUnreachable, Leaving: m.State == announcer.Draining,
		})
	}
	return hosts
}

// mustReadStore reports whether this host has to read the store itself.
func (g *Gateway) mustReadStore(now time.Time) bool {
	if g.isReader(now) {
		return true
	}
	age, ok := g.freshness.age()
	if !ok {
		return now.Sub(g.started) > startupRelayWait
	}
	return age > fallbackReadAge
}
