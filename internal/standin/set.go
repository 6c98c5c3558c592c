package standin

import (
	"errors"
	"fmt"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// Instance is a stand-in and the address that it listens on.
type Instance[S any] struct {
	Standin S
	Address dotterelpulley.Address
	// ListedAddress is the address published in the host list, such as a proxy's; the stand-in's own if empty.
	ListedAddress dotterelpulley.Address
}

// ProxyInstance is a fault proxy and the address that it listens on.
type ProxyInstance struct {
	ID      string
	Address dotterelpulley.Address
	Standin *proxy.Proxy
}

// Set is a set of stand-ins that run in one process; stand-ins that are nil are left out.
type Set struct {
	// Control is the address that serves every stand-in's faults, ledger and stats, as at /standin/ID/faults, even while it is down.
	Control dotterelpulley.Address
	Log     *Instance[*Log]
	Hosts   *Instance[*Hosts]
	Weights *Instance[*Weights]
	Engines []Instance[*Engine]
	Plain   []Instance[*Plain]
	Proxies []ProxyInstance

	control control
	started []closer
}

type closer interface {
	Close() error
}

// control is the server of the control address of a set.
type control struct {
	server
}

// Start starts every stand-in of the set and registers the endpoints in its host list.
func (s *Set) Start() error {
	steps := []func() error{s.startLog, s.startHosts, s.startWeights, s.startEngines, s.startPlain, s.startProxies, s.startControl}
	for _, step := range steps {
		if err := step(); err != nil {
			return errors.Join(err, s.Close())
		}
	}
	return nil
}

func (s *Set) startLog() error {
	if s.Log == nil {
		return nil
	}
	return s.addStarted("log", s.Log.Standin, s.Log.Standin.Start(s.Log.Address))
}

func (s *Set) startHosts() error {
	if s.Hosts == nil {
		return nil
	}
	return s.addStarted("host list", s.Hosts.Standin, s.Hosts.Standin.Start(s.Hosts.Address))
}

func (s *Set) startWeights() error {
	if s.Weights == nil {
		return nil
	}
	return s.addStarted("weight store", s.Weights.Standin, s.Weights.Standin.Start(s.Weights.Address))
}

func (s *Set) startEngines() error {
	for _, instance := range s.Engines {
		e := instance.Standin
		if s.Weights != nil && e.WeightStore == "" {
			e.WeightStore = s.Weights.Standin.Address()
		}
		if err := s.addStarted(string(e.ID), e, e.Start(instance.Address)); err != nil {
			return err
		}
		s.register(lister.Host{
			ID:         dotterelpulley.HostID(e.ID),
			Kind:       lister.KindEngine,
			Service:    e.Service,
			Address:    orDefault(instance.ListedAddress, e.Address()),
			Zone:       e.Zone,
			Generation: e.Generation,
		})
	}
	return nil
}

func (s *Set) startPlain() error {
	for _, instance := range s.Plain {
		p := instance.Standin
		if err := s.addStarted(string(p.ID), p, p.Start(instance.Address)); err != nil {
			return err
		}
		s.register(lister.Host{
			ID:      dotterelpulley.HostID(p.ID),
			Kind:    lister.KindPlain,
			Service: p.Service,
			Address: orDefault(instance.ListedAddress, p.Address()),
			Zone:    p.Zone,
		})
	}
	return nil
}

func (s *Set) startProxies() error {
	for _, p := range s.Proxies {
		if err := s.addStarted(p.ID, p.Standin, p.Standin.Start(p.Address)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) register(h lister.Host) {
	if s.Hosts != nil {
		s.Hosts.Standin.Set(h)
	}
}

func (s *Set) addStarted(name string, c closer, err error) error {
	if err != nil {
		return fmt.Errorf("start stand-in %q: %w", name, err)
	}
	s.started = append(s.started, c)
	return nil
}

func (s *Set) startControl() error {
	if s.Control == "" {
		return nil
	}
	return s.addStarted("control", &s.control, s.control.start(s.Control, s.controlRoutes))
}

// ControlAddress returns the control address that the set listens on.
func (s *Set) ControlAddress() dotterelpulley.Address {
	return s.control.Address()
}

// controlRoutes registers each stand-in's routes under /standin/ as /standin/ID/.
func (s *Set) controlRoutes(app *fiber.App) {
	if s.Log != nil {
		app.Post("/standin/log/faults", s.Log.Standin.handleFaults)
		app.Get("/standin/log/stats", s.Log.Standin.handleStats)
	}
	if s.Hosts != nil {
		app.Put("/standin/host-list/hosts", s.Hosts.Standin.handlePut)
		app.Post("/standin/host-list/faults", s.Hosts.Standin.handleFaults)
	}
	if s.Weights != nil {
		app.Post("/standin/weight-store/faults", s.Weights.Standin.handleFaults)
		app.Get("/standin/weight-store/stats", s.Weights.Standin.handleStats)
	}
	for _, p := range s.Engines {
		app.Post("/standin/"+string(p.Standin.ID)+"/faults", p.Standin.handleFaults)
		app.Get("/standin/"+string(p.Standin.ID)+"/ledger", p.Standin.handleLedger)
	}
	for _, p := range s.Plain {
		app.Post("/standin/"+string(p.Standin.ID)+"/faults", p.Standin.handleFaults)
		app.Get("/standin/"+string(p.Standin.ID)+"/ledger", p.Standin.handleLedger)
	}
	for _, p := range s.Proxies {
		app.Post("/standin/"+p.ID+"/faults", p.Standin.Handle)
	}
	app.Get("/standin/ledger", func(c fiber.Ctx) error { return c.JSON(ledgerToWire(s.Runs())) })
}

// Runs returns the runs of all endpoints of the set.
func (s *Set) Runs() []Run {
	var runs []Run
	for _, p := range s.Engines {
		runs = append(runs, p.Standin.Ledger.Runs()...)
	}
	for _, p := range s.Plain {
		runs = append(runs, p.Standin.Ledger.Runs()...)
	}
	return runs
}

// Close closes the started stand-ins in reverse order and waits for them.
func (s *Set) Close() error {
	var errs []error
	for i := len(s.started) - 1; i >= 0; i-- {
		errs = append(errs, s.started[i].Close())
	}
	s.started = nil
	return errors.Join(errs...)
}
