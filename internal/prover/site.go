package prover

import (
	"errors"
	"fmt"
	"strings"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// SiteSettings configures a site.
type SiteSettings struct {
	Binaries Binaries
	// Network is the prefix of the site's own loopback addresses, three bytes such as "127.40.1".
	Network string
	// Dir is the directory for settings files.
	Dir string
	// Zones are the availability zones, assigned to the entry hosts in turn.
	Zones []dotterelpulley.ZoneID
	// Entries is the number of entry hosts.
	Entries int
	Engines []*standin.Engine
	Plain   []*standin.Plain
	// Hosts, Log and Weights are the platform stand-ins; nil ones are replaced by empty ones.
	Hosts   *standin.Hosts
	Log     *standin.Log
	Weights *standin.Weights
}

// Site is a complete system under test: the platform, the endpoints and the entry hosts.
type Site struct {
	ActionLog
	Binaries Binaries
	Log      *standin.Log
	Hosts    *standin.Hosts
	Weights  *standin.Weights
	Engines  []*standin.Engine
	Plain    []*standin.Plain
	Zones    []dotterelpulley.ZoneID
	Entries  []*Entry

	set     standin.Set
	network string
	dir     string
}

// NewSite starts the platform and the endpoints, and creates the entry hosts without starting their processes.
func NewSite(settings SiteSettings) (*Site, error) {
	s := &Site{
		Binaries: settings.Binaries,
		Log:      settings.Log,
		Hosts:    settings.Hosts,
		Weights:  settings.Weights,
		Engines:  settings.Engines,
		Plain:    settings.Plain,
		Zones:    settings.Zones,
		network:  settings.Network,
		dir:      settings.Dir,
	}
	if s.Log == nil {
		s.Log = &standin.Log{}
	}
	if s.Hosts == nil {
		s.Hosts = &standin.Hosts{}
	}
	if s.Weights == nil {
		s.Weights = &standin.Weights{}
	}
	if err := s.startStandins(); err != nil {
		return nil, err
	}
	for range settings.Entries {
		if _, err := s.AddEntry(); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

func (s *Site) startStandins() error {
	anyPort := address(s.network+".250", 0)
	s.set = standin.Set{
		Control: anyPort,
		Log:     &standin.Instance[*standin.Log]{Standin: s.Log, Address: anyPort},
		Hosts:   &standin.Instance[*standin.Hosts]{Standin: s.Hosts, Address: anyPort},
		Weights: &standin.Instance[*standin.Weights]{Standin: s.Weights, Address: anyPort},
	}
	for _, e := range s.Engines {
		s.set.Engines = append(s.set.Engines, standin.Instance[*standin.Engine]{Standin: e, Address: anyPort})
	}
	for _, p := range s.Plain {
		s.set.Plain = append(s.set.Plain, standin.Instance[*standin.Plain]{Standin: p, Address: anyPort})
	}
	return s.set.Start()
}

// AddEntry creates another entry host and adds it to the host list.
func (s *Site) AddEntry() (*Entry, error) {
	e, err := s.newEntry(len(s.Entries) + 1)
	if err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, e)
	s.Hosts.Set(e.Host)
	return e, nil
}

// RemoveHost removes the host from the host list.
func (s *Site) RemoveHost(h lister.Host) {
	s.RecordAction("host list drops %s", h.ID)
	s.Hosts.Remove(h.ID)
}

// Control returns the address that serves the ledgers of all endpoints.
func (s *Site) Control() dotterelpulley.Address {
	return s.set.ControlAddress()
}

// Runs returns the executions recorded by all endpoints.
func (s *Site) Runs() []standin.Run {
	return s.set.Runs()
}

// RunsOf returns the executions recorded under the key.
func (s *Site) RunsOf(key dotterelpulley.Key) []standin.Run {
	var found []standin.Run
	for _, r := range s.Runs() {
		if r.Key == key.String() {
			found = append(found, r)
		}
	}
	return found
}

// Report returns the action log and the end of each process's log.
func (s *Site) Report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schedule:\n%s\n", s.String())
	for _, e := range s.Entries {
		for _, p := range e.processes() {
			fmt.Fprintf(&b, "log of %s:\n%s\n", p.Name, p.LogTail())
		}
	}
	return b.String()
}

// Close stops all processes, proxies and stand-ins.
func (s *Site) Close() error {
	var errs []error
	for _, e := range s.Entries {
		errs = append(errs, e.close())
	}
	errs = append(errs, s.set.Close())
	return errors.Join(errs...)
}
