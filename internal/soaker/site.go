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
	// configureEvery is the time between two configurations.
	configureEvery = 700 * time.Millisecond
	// mostHosts is what the last part of an address leaves.
	mostHosts = 200
)

// site is the platform's stand-ins and the gateways under test.
type site struct {
	Settings
	ledger ledger
	watch  watch
	store  *standin.Store
	hosts  []*host

	mutex     sync.Mutex
	endpoints []*endpoint
	// gone are endpoints that have left; their stand-ins serve on, as some callers of theirs lag.
	gone    []*endpoint
	born    int
	version int64
	revoked bool
	errs    []error
	// keep tells that logs are to be written to files, kept names these.
	keep bool
	kept []string
}

func newSite(s Settings) (*site, error) {
	w := &site{Settings: s, store: standin.StartStore()}
	for range plainEndpoints {
		w.add(plainService)
	}
	for range modelEndpoints {
		w.add(modelService)
	}
	w.configure()
	var seeds []dotterelpulley.Address
	for i := range s.Hosts {
		// Addresses of a process of its own, so that soaks beside each other don't meet.
		process := os.Getpid()
		ip := netip.AddrFrom4([4]byte{127, byte(64 + process>>8%128), byte(process), byte(i + 1)})
		if i < 3 {
			seeds = append(seeds, addressOf(ip, controlPort))
		}
		h, err := newHost(dotterelpulley.HostID(fmt.Sprintf("host-%d", i)), ip, seeds, w.store.Address(), s)
		if err != nil {
			return w, errors.Join(err, w.close())
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return w, errors.Join(err, w.close())
		}
	}
	if len(w.errs) > 0 {
		return w, w.close()
	}
	return w, nil
}

// add starts an endpoint of the service; the mutex is held, or nothing else runs yet.
func (s *site) add(service dotterelpulley.ServiceID) {
	s.born++
	id := dotterelpulley.EndpointID(fmt.Sprintf("%s-%d", service, s.born))
	e, err := startEndpoint(id, service, &s.ledger, s.Seed+uint64(s.born))
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	e.register(s.store, "ready")
	s.endpoints = append(s.endpoints, e)
}

// configure publishes the next configuration.
func (s *site) configure() {
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

// revoke takes the revocable key away for good.
func (s *site) revoke() {
	s.mutex.Lock()
	before := s.revoked
	s.revoked = true
	s.mutex.Unlock()
	if !before {
		s.configure()
		r := Revocation{Key: revocable, At: time.Now()}
		s.ledger.note(func(o *Observed) { o.Revocations = append(o.Revocations, r) })
	}
}

func (s *site) anyHost(r *rand.Rand) *host {
	return s.hosts[r.IntN(len(s.hosts))]
}

func (s *site) anyEndpoint(r *rand.Rand) *endpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.endpoints[r.IntN(len(s.endpoints))]
}

func (s *site) restart(h *host) {
	s.healed(h.start())
}

// healed notes what went wrong in the healing of a fault, which ends the soak without a verdict.
func (s *site) healed(err error) {
	if err == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.errs = append(s.errs, err)
}

// replace lets an endpoint leave and starts another one in its place.
func (s *site) replace(ctx context.Context, old *endpoint) {
	s.mutex.Lock()
	kept := s.endpoints[:0]
	for _, e := range s.endpoints {
		if e != old {
			kept = append(kept, e)
		}
	}
	leaves := len(kept) < len(s.endpoints)
	s.endpoints = kept
	if leaves {
		s.add(old.Service)
		s.gone = append(s.gone, old)
		old.register(s.store, "draining")
		leave := Leave{Endpoint: old.ID, At: time.Now()}
		s.ledger.note(func(o *Observed) { o.Leaves = append(o.Leaves, leave) })
	}
	s.mutex.Unlock()
	if !leaves {
		return
	}
	wait(ctx, drainLimit)
	s.store.Put(platform.EndpointsTopic, string(old.ID), nil)
}

// close ends everything and returns what went wrong; logs are the hosts'.
func (s *site) close() error {
	logs := map[string][]string{}
	for _, h := range s.hosts {
		logs[string(h.id)] = h.close()
	}
	s.logs(logs)
	for _, e := range append(s.endpoints, s.gone...) {
		s.healed(e.close())
	}
	s.store.Close()
	return errors.Join(s.errs...)
}
