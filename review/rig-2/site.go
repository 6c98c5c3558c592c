package main

import (
	"fmt"
	"time"
)

const (
	zone         = "zone-a"
	modelService = "model"
	// beatInterval is the time between two records of a server.
	beatInterval = 1200 * time.Millisecond
	// startLimit is how long the machines may take to start.
	startLimit = 20 * time.Second
)

// site is a small deployment: two machines, each with its own links to all servers.
type site struct {
	store    *store
	book     *book
	machines []*machine
	servers  []*server
	// links holds the links to each server, by machine.
	links   map[string][]*link
	stopped chan struct{}
}

// machineCount is two, as both machines of such a deployment read the store themselves and so keep to their own links.
const machineCount = 2

func newSite() *site {
	s := &site{store: newStore(), book: newBook(), links: map[string][]*link{}, stopped: make(chan struct{})}
	s.store.seenValue = s.registrationIn
	return s
}

// registrationIn returns a server's registration with the address of the machine's link.
func (s *site) registrationIn(machine int, id string, value []byte) []byte {
	return atAddress(value, s.links[id][machine].address)
}

// start starts all servers, links and machines, and waits until the machines are ready.
func (s *site) start(with setup, configuration map[string]any) error {
	for _, v := range s.servers {
		if err := v.start(); err != nil {
			return err
		}
		for range machineCount {
			l, err := startLink(v.address)
			if err != nil {
				return err
			}
			s.links[v.id] = append(s.links[v.id], l)
		}
		s.store.put(serversTopic, v.id, encode(v.registration()))
	}
	s.store.put(operatorsTopic, "config", encode(configuration))
	for i := range machineCount {
		address, err := s.store.serveView(i)
		if err != nil {
			return err
		}
		m := &machine{name: fmt.Sprintf("front-a-%d", i+1), ip: hostIP(i + 1)}
		s.machines = append(s.machines, m)
		if err := m.start(with.program, with.directory, address); err != nil {
			return err
		}
	}
	go s.beat()
	for _, m := range s.machines {
		if err := m.awaitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

// beat lets the servers write to the store until the site is closed.
func (s *site) beat() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(beatInterval):
		}
		for _, v := range s.servers {
			s.store.put(serversTopic, v.id, encode(v.registration()))
		}
	}
}

// cut cuts the machine off from all servers.
func (s *site) cut(machine int) error {
	for _, links := range s.links {
		if err := links[machine].cut(); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) heal(machine int) error {
	for _, links := range s.links {
		if err := links[machine].heal(); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) close() {
	close(s.stopped)
	for _, m := range s.machines {
		m.kill()
	}
	for _, links := range s.links {
		for _, l := range links {
			l.close()
		}
	}
	for _, v := range s.servers {
		if v.http != nil {
			v.close()
		}
	}
	s.store.close()
}
