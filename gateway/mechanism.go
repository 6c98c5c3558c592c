package gateway

import (
	"slices"

	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// Mechanisms are those of a gateway that experiments switch off; the zero value is none.
type Mechanisms struct {
	Scheduler scheduler.Mechanisms
	Rationer  rationer.Mechanisms
	// Changes are the changes of loads that are told to other hosts at once, Histories the usage that a host learns at its start.
	Changes   bool
	Histories bool
	// Repeats are second runs of failed requests, Successors those of silent streams.
	Repeats    bool
	Successors bool
}

// ParseMechanisms returns the mechanisms with the names.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var m Mechanisms
	own := map[string]*bool{"changes": &m.Changes, "histories": &m.Histories, "repeats": &m.Repeats, "successors": &m.Successors}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		switched, ok := own[name]
		if ok {
			*switched = true
		}
		return ok
	})
	names = slices.DeleteFunc(names, func(name string) bool {
		parsed, ok := rationer.ParseMechanism(name)
		m.Rationer |= parsed
		return ok
	})
	var err error
	m.Scheduler, err = scheduler.ParseMechanisms(names)
	return m, err
}

// SwitchOff switches the mechanisms off; call it before Start.
func (g *Gateway) SwitchOff(m Mechanisms) {
	g.without = m
	g.queue.scheduler.Without = m.Scheduler
	g.rationer.Without = m.Rationer
}
