package prover

import (
	"errors"
	"fmt"
	"strings"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// Shape is what a site consists of.
type Shape struct {
	Binaries Binaries
	// Network is the first three bytes of the site's own loopback addresses, such as "127.40.1".
	Network string
	// Dir is where settings files go.
	Dir string
	// Zones are the availability zones of the entry hosts in turn.
	Zones []dotterelpulley.ZoneID
	// Entries is the number of entry hosts.
	Entries int
	Engines []*standin.Engine
	Plain   []*standin.Plain
	// Hosts, Log and Weights are the platform; empty ones if nil.
	Hosts   *standin.Hosts
	Log     *standin.Log
	Weights *standin.Weights
}

// Site is a whole system under test: the platform, endpoints and entry hosts.
type Site struct {
	Schedule
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

// NewSite starts the platform and the endpoints, and places the entry hosts without starting them.
func NewSite(shape Shape) (*Site, error) {
	s := &Site{
		Binaries: shape.Binaries,
		Log:      shape.Log,
		Hosts:    shape.Hosts,
		Weights:  shape.Weights,
		Engines:  shape.Engines,
		Plain:    shape.Plain,
		Zones:    shape.Zones,
		network:  shape.Network,
		dir:      shape.Dir,
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
	for range shape.Entries {
		if _, err := s.AddEntry(); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

func (s *Site) startStandins() error {
	free := address(s.network+".250", 0)
	s.set = standin.Set{
		Control: free,
		Log:     &standin.Placed[*standin.Log]{Standin: s.Log, Address: free},
		Hosts:   &standin.Placed[*standin.Hosts]{Standin: s.Hosts, Address: free},
		Weights: &standin.Placed[*standin.Weights]{Standin: s.Weights, Address: free},
	}
	for _, e := range s.Engines {
		s.set.Engines = append(s.set.Engines, standin.Placed[*standin.Engine]{Standin: e, Address: free})
	}
	for _, p := range s.Plain {
		s.set.Plain = append(s.set.Plain, standin.Placed[*standin.Plain]{Standin: p, Address: free})
	}
	return s.set.Start()
}

// AddEntry places another entry host and puts it on the host list.
func (s *Site) AddEntry() (*Entry, error) {
	e, err := s.newEntry(len(s.Entries) + 1)
	if err != nil {
		return nil, err
	}
	s.Entries = append(s.Entries, e)
	s.Hosts.Set(e.Host)
	return e, nil
}

// Drop takes the host off the host list.
func (s *Site) Drop(h lister.Host) {
	s.Note("host list drops %s", h.ID)
	s.Hosts.Remove(h.ID)
}

// Control returns the address at which the ledgers of all endpoints are read.
func (s *Site) Control() dotterelpulley.Address {
	return s.set.ControlAddress()
}

// Runs returns what all endpoints have run.
func (s *Site) Runs() []standin.Run {
	return s.set.Runs()
}

// RunsOf returns what has run under the key.
func (s *Site) RunsOf(key dotterelpulley.Key) []standin.Run {
	var found []standin.Run
	for _, r := range s.Runs() {
		if r.Key == key.String() {
			found = append(found, r)
		}
	}
	return found
}

// Report returns the schedule and each process's log.
func (s *Site) Report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schedule:\n%s\n", s.String())
	for _, e := range s.Entries {
		for _, p := range e.processes() {
			fmt.Fprintf(&b, "log of %s:\n%s\n", p.Name, p.Log())
		}
	}
	return b.String()
}

// Close ends all processes, proxies and stand-ins.
func (s *Site) Close() error {
	var failed []error
	for _, e := range s.Entries {
		failed = append(failed, e.close())
	}
	failed = append(failed, s.set.Close())
	return errors.Join(failed...)
}
