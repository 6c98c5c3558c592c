package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func newSplitScheduler() *Scheduler {
	s := &Scheduler{Seed: 1}
	var endpoints []Endpoint
	for _, id := range []dotterelpulley.EndpointID{"old-1", "old-2", "new-1", "new-2"} {
		version := dotterelpulley.VersionID("v1")
		if id == "new-1" || id == "new-2" {
			version = "v2"
		}
		endpoints = append(endpoints, Endpoint{Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)}, Version: version, Slots: 100})
	}
	s.SetEndpoints(testService, endpoints)
	return s
}

// placements offers 20 pieces of work and returns how many went to each endpoint.
func placements(s *Scheduler, now time.Time, first ID, forTarget bool) map[dotterelpulley.EndpointID]int {
	counts := map[dotterelpulley.EndpointID]int{}
	for i := range ID(20) {
		w := work(first + i)
		w.Arrived, w.Deadline, w.ForTarget = now, now.Add(10*time.Second), forTarget
		if d, ok := offer(s, now, w).(Placed); ok {
			counts[d.Endpoint.ID]++
		}
	}
	return counts
}

// Guards against work on a version that is ordered but not proved.
func TestOnlyMarkedWorkRunsOnTheTarget(t *testing.T) {
	c := qt.New(t)
	s := newSplitScheduler()
	s.SetSplit(start, testService, Split{Target: "v2", Mode: SplitMarked, Focus: "new-2"})
	counts := placements(s, start, 1, false)
	c.Check(counts["old-1"]+counts["old-2"], qt.Equals, 20)
	c.Check(placements(s, start, 100, true)["new-2"], qt.Equals, 20)
	s.SetSplit(start, testService, Split{Target: "v2", Mode: SplitNone})
	counts = placements(s, start, 200, true)
	c.Check(counts["old-1"]+counts["old-2"], qt.Equals, 20)
	s.SetSplit(start, testService, Split{Target: "v2", Mode: SplitAll})
	counts = placements(s, start, 300, false)
	c.Check(counts["new-1"]+counts["new-2"], qt.Equals, 20)
}

// Guards against callers that are refused while endpoints of another version are idle.
func TestASplitWithoutUsableEndpointsIsSuspended(t *testing.T) {
	c := qt.New(t)
	s := newSplitScheduler()
	s.SetSplit(start, testService, Split{Target: "v3", Mode: SplitAll})
	c.Check(placements(s, start, 1, false), qt.HasLen, 0)
	later := start.Add(splitGrace)
	counts := placements(s, later, 100, false)
	total := 0
	for _, n := range counts {
		total += n
	}
	c.Check(total >= 20, qt.IsTrue)
}

// Guards against slow runs that are seen only at their end, or not at all if the caller gives up.
func TestSlowRunsShowBeforeTheyEnd(t *testing.T) {
	c := qt.New(t)
	s := newSplitScheduler()
	c.Assert(offer(s, start, work(1)), qt.IsNotNil)
	c.Check(s.TakeSamples(start.Add(time.Second)), qt.HasLen, 0)
	samples := s.TakeSamples(start.Add(slowSampleTime))
	c.Assert(samples, qt.HasLen, 1)
	c.Check(samples[0].FirstEvent, qt.Equals, slowSampleTime)
	c.Check(samples[0].PlacedAt, qt.Equals, start)
	c.Check(samples[0].Ended, qt.IsFalse)
	s.Ended(start.Add(2*time.Second), 1, ResultCancelled)
	samples = s.TakeSamples(start.Add(2 * time.Second))
	c.Assert(samples, qt.HasLen, 1)
	c.Check(samples[0].Failed, qt.IsTrue)
}
