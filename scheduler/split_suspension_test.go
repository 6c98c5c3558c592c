package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	oldVersion    dotterelpulley.VersionID = "v1"
	targetVersion dotterelpulley.VersionID = "v2"
)

// newVersions returns a scheduler with endpoints of the versions that the ids name.
func newVersions(versions map[dotterelpulley.EndpointID]dotterelpulley.VersionID) *Scheduler {
	s := &Scheduler{Seed: 1}
	var endpoints []Endpoint
	for id, version := range versions {
		endpoints = append(endpoints, Endpoint{
			Slots: 4, Version: version, Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)},
		})
	}
	s.SetEndpoints(testService, endpoints)
	return s
}

// arrived returns work that arrives at the time.
func arrived(id ID, now time.Time) Work {
	return Work{ID: id, Service: testService, Arrived: now, Objective: 2 * time.Second, Deadline: now.Add(10 * time.Second)}
}

// Guards against a bad version getting work because the only other endpoint of a quiet service refused a request just now.
func TestAShortPauseOfAQuietServiceDoesNotLetWorkOnTheTarget(t *testing.T) {
	c := qt.New(t)
	s := newVersions(map[dotterelpulley.EndpointID]dotterelpulley.VersionID{"a": oldVersion, "b": targetVersion})
	s.SetSplit(start, testService, Split{Target: targetVersion})
	now := start.Add(10 * time.Second)
	placed, ok := offer(s, now, arrived(1, now)).(Placed)
	c.Assert(ok, qt.IsTrue)
	c.Assert(placed.Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("a"))
	now = now.Add(5 * time.Second)
	s.Ended(now, 1, ResultRefused)
	placed, ok = offer(s, now, arrived(2, now)).(Placed)
	c.Assert(ok, qt.IsFalse, qt.Commentf("placed on %s", placed.Endpoint.ID))
}

// Guards against a bad version that gets all requests after its verdict because the others' endpoints are unusable for a while.
func TestWorkWaitsForTheOtherVersionsAfterAVerdict(t *testing.T) {
	c := qt.New(t)
	s := newVersions(map[dotterelpulley.EndpointID]dotterelpulley.VersionID{"a": oldVersion, "b": targetVersion})
	s.SetSplit(start, testService, Split{Target: targetVersion})
	now := start
	offer(s, now, arrived(1, now))
	for i := range 6 {
		// The endpoint refuses connections while it restarts.
		s.Ended(now, ID(i+1), ResultUnreachable)
		s.Decide(now)
		now = now.Add(500 * time.Millisecond)
		if placed, ok := offer(s, now, arrived(ID(i+2), now)).(Placed); ok {
			c.Assert(placed.Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("a"), qt.Commentf("after %s", now.Sub(start)))
		}
	}
}

// Guards against a service without work at every turn of the canary's endpoint, when only endpoints of the target are usable.
func TestATurnOfTheCanaryDoesNotStopAServiceWithOnlyTheTarget(t *testing.T) {
	c := qt.New(t)
	s := newVersions(map[dotterelpulley.EndpointID]dotterelpulley.VersionID{"b": targetVersion, "c": targetVersion})
	split := Split{Target: targetVersion, Mode: SplitMarked}
	s.SetSplit(start, testService, split)
	now := start.Add(splitGrace)
	_, ok := offer(s, now, arrived(1, now)).(Placed)
	c.Assert(ok, qt.IsTrue)
	split.Focus = "b"
	s.SetSplit(now, testService, split)
	_, ok = offer(s, now, arrived(2, now)).(Placed)
	c.Assert(ok, qt.IsTrue)
}
