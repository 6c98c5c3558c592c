package apportioner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

const endpoint Key = 7

func hostIDs(n int) []dotterelpulley.HostID {
	var ids []dotterelpulley.HostID
	for i := range n {
		ids = append(ids, dotterelpulley.HostID(fmt.Sprintf("host-%03d", i)))
	}
	return ids
}

// view returns the apportioner of one of the hosts.
func view(hosts []dotterelpulley.HostID, self int) *Apportioner {
	a := &Apportioner{Self: hosts[self]}
	a.SetHosts(hosts)
	return a
}

// The hosts' shares add up to the limit, and no more hosts share it than it has requests a second, and one.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostIDs(rapid.IntRange(1, 60).Draw(t, "hosts"))
		limit := Rate(rapid.Float64Range(float64(minRate), 500).Draw(t, "limit"))
		key := Key(rapid.Uint32().Draw(t, "key"))
		sum, sharers := Rate(0), 0
		for i := range hosts {
			a := view(hosts, i)
			a.ObserveLimit(start, key, limit)
			share, limited := a.Share(key)
			if !limited {
				t.Fatal("no limit")
			}
			sum += share
			if share > 0 {
				sharers++
			}
		}
		if sum < limit*0.999 || sum > limit*1.001 {
			t.Fatalf("shares add up to %v of %v", sum, limit)
		}
		if sharers > 1+int(limit) || sharers == 0 {
			t.Fatalf("%d hosts share %v a second", sharers, limit)
		}
	})
}

// The hosts' places add up to the endpoint's, less those that are left free.
func TestPlacesAddUpToThoseOfTheEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hostIDs(rapid.IntRange(1, 60).Draw(t, "hosts"))
		places := rapid.IntRange(1, 40).Draw(t, "places")
		sum := 0
		for i := range hosts {
			sum += view(hosts, i).Places(endpoint, places)
		}
		if sum > max(places-1, 1) || sum < places*8/10 {
			t.Fatalf("%d of %d places are divided", sum, places)
		}
	})
}

func TestAHostThatTakesNoPartHasNoShare(t *testing.T) {
	c := qt.New(t)
	a := Apportioner{Self: "other"}
	a.SetHosts(hostIDs(3))
	a.ObserveLimit(start, endpoint, 5)
	share, limited := a.Share(endpoint)
	c.Assert(limited, qt.IsTrue)
	c.Assert(share, qt.Equals, Rate(0))
	c.Assert(a.Places(endpoint, 10), qt.Equals, 0)
	c.Assert((&Apportioner{}).Places(endpoint, 10), qt.Equals, 0)
}

// A limit of nothing still lets requests through now and then, whose answers tell when it ends.
func TestTheEndOfALimitOfNothingIsNoticed(t *testing.T) {
	c := qt.New(t)
	a := view(hostIDs(1), 0)
	a.ObserveLimit(start, endpoint, 0)
	share, _ := a.Share(endpoint)
	c.Assert(share, qt.Equals, minRate)
	c.Assert(a.ObserveNoLimit(start.Add(time.Second), endpoint), qt.IsTrue)
	_, limited := a.Share(endpoint)
	c.Assert(limited, qt.IsFalse)
}

func TestTheNewestObservationCounts(t *testing.T) {
	c := qt.New(t)
	hosts := hostIDs(2)
	a, b := view(hosts, 0), view(hosts, 1)
	c.Assert(a.ObserveLimit(start, endpoint, 5), qt.IsTrue)
	c.Assert(a.ObserveLimit(start, endpoint, 5), qt.IsFalse)
	now := start.Add(100 * time.Millisecond)
	c.Assert(b.Receive(now, a.Report(now)), qt.IsTrue)
	limit, ok := b.Limit(endpoint)
	c.Assert(ok, qt.IsTrue)
	c.Assert(limit, qt.Equals, Rate(5))
	// What b has only heard it doesn't report itself.
	c.Assert(b.Report(now).Limits, qt.HasLen, 0)

	c.Assert(b.ObserveNoLimit(now.Add(time.Second), endpoint), qt.IsTrue)
	now = now.Add(2 * time.Second)
	c.Assert(b.Receive(now, a.Report(now)), qt.IsFalse, qt.Commentf("an older report changed the limit"))
	c.Assert(a.Receive(now, b.Report(now)), qt.IsTrue)
	_, ok = a.Limit(endpoint)
	c.Assert(ok, qt.IsFalse)
	c.Assert(a.Report(now).Limits, qt.HasLen, 0, qt.Commentf("a host reported what another has observed otherwise since"))
}

func TestBrittlenessOutlivesASilenceOfAllEndpoints(t *testing.T) {
	c := qt.New(t)
	a := view(hostIDs(1), 0)
	c.Assert(a.ObserveBrittle(start, 3), qt.IsTrue)
	c.Assert(a.ObserveBrittle(start, 3), qt.IsFalse)
	c.Assert(a.Prune(start.Add(brittleMemory)), qt.IsFalse)
	c.Assert(a.IsBrittle(start.Add(brittleMemory), 3), qt.IsTrue)
	c.Assert(a.Prune(start.Add(brittleMemory+1)), qt.IsTrue)
	c.Assert(a.Divides(), qt.IsFalse)
}

// A host that comes or goes changes the ranks of others by one at most.
func TestAHostThatGoesLeavesTheOthersOrder(t *testing.T) {
	c := qt.New(t)
	hosts := hostIDs(20)
	for i := range hosts[1:] {
		before, _ := view(hosts, i+1).rank(endpoint)
		after, _ := view(hosts[1:], i).rank(endpoint)
		c.Check(after == before || after == before-1, qt.IsTrue)
	}
}

func TestReportsTakeTurns(t *testing.T) {
	c := qt.New(t)
	a := view(hostIDs(1), 0)
	for key := range Key(maxReported + 1) {
		a.ObserveLimit(start, key, 1)
	}
	seen := map[Key]bool{}
	for range 2 {
		r := a.Report(start)
		c.Assert(r.Limits, qt.HasLen, maxReported)
		for _, l := range r.Limits {
			seen[l.Key] = true
		}
	}
	c.Assert(seen, qt.HasLen, maxReported+1)
}
