package scheduler

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Change is what has changed in a host's report since its last report or change. The load that it answers is a burst: a free
// slot is taken within a few milliseconds, and hosts that go by reports which are older than that all place work there.
type Change struct {
	// Loads are the loads that have changed; one without runs means that the host runs nothing there any more.
	Loads []Load
	// Waiting and DeadEndpoints replace those of the report.
	Waiting       []WaitingCount
	DeadEndpoints []uint32
}

// changedEndpoints are the keys of endpoints of which this host's load has changed since it was last reported.
type changedEndpoints map[uint32]bool

func (c *changedEndpoints) add(e *endpoint) {
	if *c == nil {
		*c = changedEndpoints{}
	}
	(*c)[e.key] = true
}

// HasChanged reports whether TakeChange has something to return.
func (s *Scheduler) HasChanged() bool {
	return len(s.changed) > 0
}

// TakeChange returns what has changed since the last report or change.
func (s *Scheduler) TakeChange(now time.Time) Change {
	c := Change{Waiting: s.waitingCounts(now), DeadEndpoints: s.deadEndpoints(now)}
	for key := range s.changed {
		if e, ok := s.endpointsByKey[key]; ok {
			c.Loads = append(c.Loads, Load{Key: key, Running: e.running, Prompt: e.pendingPrompt})
		}
	}
	slices.SortFunc(c.Loads, func(a, b Load) int { return int(int64(a.Key) - int64(b.Key)) })
	clear(s.changed)
	return c
}

// ApplyChange updates the report of another host; a host without a report is passed over.
func (s *Scheduler) ApplyChange(now time.Time, host dotterelpulley.HostID, c Change) {
	s.init()
	known, ok := s.hostReports[host]
	if !ok {
		return
	}
	report := HostReport{Waiting: c.Waiting, DeadEndpoints: c.DeadEndpoints, Loads: slices.Clone(known.Loads)}
	for _, l := range c.Loads {
		report.Loads = slices.DeleteFunc(report.Loads, func(old Load) bool { return old.Key == l.Key })
		if l.Running > 0 {
			report.Loads = append(report.Loads, l)
		}
	}
	s.SetHostReport(now, host, report)
}
