package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	plainEndpoints = 3
	modelEndpoints = 4
	// configurationInterval is the time between two configurations.
	configurationInterval = 700 * time.Millisecond
	// maxHosts is bounded by the last byte of a host's IP address.
	maxHosts = 200
)

// site holds the stand-ins of the platform and the gateways under test.
type site struct {
	Settings
	ledger ledger
	stalls stallDetector
	store  *standin.Store
	hosts  []*host

	mutex     sync.Mutex
	endpoints []*endpoint
	// sole is the endpoint of soleService.
	sole *endpoint
	// drained holds endpoints that have left; they still serve, as some hosts learn of the drain late.
	drained          []*endpoint
	startedEndpoints int
	version          int64
	revoked          bool
	errs             []error
	// keepLogs makes close write logs to files, whose names are in logPaths.
	keepLogs bool
	logPaths []string
}

func newSite(settings Settings) (*site, error) {
	s := &site{Settings: settings, store: standin.StartStore()}
	for range plainEndpoints {
		s.addEndpoint(plainService)
	}
	for range modelEndpoints {
		s.addEndpoint(modelService)
	}
	var err error
	if s.sole, err = startEndpoint("sole-1", soleService, &s.ledger, settings.Seed); err != nil {
		return s, errors.Join(err, s.close())
	}
	s.sole.register(s.store, "ready")
	s.publishConfiguration()
	var seedAddresses []dotterelpulley.Address
	for i := range settings.Hosts {
		// The addresses depend on the process, so that concurrent soaks do not collide.
		process := os.Getpid()
		ip := netip.AddrFrom4([4]byte{127, byte(64 + process>>8%128), byte(process), byte(i + 1)})
		if i < 3 {
			seedAddresses = append(seedAddresses, addressOf(ip, controlPort))
		}
		h, err := newHost(dotterelpulley.HostID(fmt.Sprintf("host-%d", i)), ip, seedAddresses, s.store.Address(), settings)
		if err != nil {
			return s, errors.Join(err, s.close())
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return s, errors.Join(err, s.close())
		}
	}
	if len(s.errs) > 0 {
		return s, s.close()
	}
	return s, nil
}

// addEndpoint starts an endpoint of the service; the caller holds the mutex or is the only goroutine.
func (s *site) addEndpoint(service dotterelpulley.ServiceID) {
	s.startedEndpoints++
	id := dotterelpulley.EndpointID(fmt.Sprintf("%s-%d", service, s.startedEndpoints))
	e, err := startEndpoint(id, service, &s.ledger, s.Seed+uint64(s.startedEndpoints))
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	e.register(s.store, "ready")
	s.endpoints = append(s.endpoints, e)
}

// publishConfiguration publishes the next configuration version.
func (s *site) publishConfiguration() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	data, err := standin.EncodeConfiguration(configuration(s.version, s.revoked))
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, data)
}

// rewriteRecords writes again what operators and endpoints have written, after the store may have lost it.
func (s *site) rewriteRecords() {
	s.publishConfiguration()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range s.drained {
		s.store.Put(platform.EndpointsTopic, string(e.ID), nil)
	}
	for _, e := range append([]*endpoint{s.sole}, s.endpoints...) {
		e.register(s.store, "ready")
	}
}

// revokeKey removes the revocable key permanently.
func (s *site) revokeKey() {
	s.mutex.Lock()
	alreadyRevoked := s.revoked
	s.revoked = true
	s.mutex.Unlock()
	if !alreadyRevoked {
		s.publishConfiguration()
		r := Revocation{Key: revocableKey, At: time.Now()}
		s.ledger.record(func(o *Observations) { o.Revocations = append(o.Revocations, r) })
	}
}

func (s *site) randomHost(r *rand.Rand) *host {
	return s.hosts[r.IntN(len(s.hosts))]
}

func (s *site) randomEndpoint(r *rand.Rand) *endpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.endpoints[r.IntN(len(s.endpoints))]
}

// endpointsOf returns the endpoints of the service.
func (s *site) endpointsOf(service dotterelpulley.ServiceID) []*endpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var endpoints []*endpoint
	for _, e := range s.endpoints {
		if e.Service == service {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// troubledEndpoint returns a random endpoint for a fault and records the fault.
func (s *site) troubledEndpoint(r *rand.Rand) *endpoint {
	e := s.randomEndpoint(r)
	trouble := Trouble{Endpoint: e.ID, At: time.Now()}
	s.ledger.record(func(o *Observations) { o.Troubles = append(o.Troubles, trouble) })
	return e
}

func (s *site) restart(h *host) {
	s.addError(h.start())
}

// addError records an error from repairing a fault; it ends the soak without a result.
func (s *site) addError(err error) {
	if err == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.errs = append(s.errs, err)
}

// replaceEndpoint drains an endpoint and starts another one in its place.
func (s *site) replaceEndpoint(ctx context.Context, old *endpoint) {
	s.mutex.Lock()
	remaining := s.endpoints[:0]
	for _, e := range s.endpoints {
		if e != old {
			remaining = append(remaining, e)
		}
	}
	found := len(remaining) < len(s.endpoints)
	s.endpoints = remaining
	if found {
		s.addEndpoint(old.Service)
		s.drained = append(s.drained, old)
		old.register(s.store, "draining")
		drain := Drain{Endpoint: old.ID, At: time.Now()}
		s.ledger.record(func(o *Observations) { o.Drains = append(o.Drains, drain) })
	}
	s.mutex.Unlock()
	if !found {
		return
	}
	sleep(ctx, drainLimit)
	s.store.Put(platform.EndpointsTopic, string(old.ID), nil)
}

// close shuts everything down, writes the logs of the hosts and returns the recorded errors.
func (s *site) close() error {
	outputs := map[string][]string{}
	for _, h := range s.hosts {
		outputs[string(h.id)] = h.close()
	}
	s.writeLogs(outputs)
	for _, e := range append(s.endpoints, s.drained...) {
		s.addError(e.close())
	}
	if s.sole != nil {
		s.addError(s.sole.close())
	}
	s.store.Close()
	return errors.Join(s.errs...)
}
