package gossiper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/gossiper"
)

const (
	criticalWithin = 2 * time.Second
	bytesPerSecond = 4096
	loss           = 0.02
	// costPeriod is the time over which the traffic for a fact is averaged.
	costPeriod = 30 * time.Second
)

var badVersion = gossiper.Fact{
	Kind: gossiper.KindBadVersion, Subject: "kaasik-lm@v7", Revision: 1, Value: []byte("slow"), Expires: start.Add(time.Hour),
}

func (n *net) allNodes(matches func(*gossiper.Gossiper) bool) func() bool {
	return func() bool {
		for i, g := range n.nodes {
			if !n.crashed[i] && !matches(g) {
				return false
			}
		}
		return true
	}
}

func hasFact(f gossiper.Fact, now func() time.Time) func(*gossiper.Gossiper) bool {
	return func(g *gossiper.Gossiper) bool {
		for _, have := range g.Facts(now()) {
			if have.ID() == f.ID() && have.Revision >= f.Revision {
				return true
			}
		}
		return false
	}
}

func TestCriticalFactsReachAllHostsWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	for _, members := range []int{3, 8, 30, 350} {
		for _, valueBytes := range []int{4, 200, 500} {
			for seed := uint64(1); seed <= 2; seed++ {
				n := newNet(seed, members, loss)
				n.run(10*time.Second, never)
				n.resetBytes()
				n.run(10*time.Second, never)
				mean, highest := n.perSecond(10 * time.Second)
				bad, crash := badVersion, badVersion
				bad.Value = make([]byte, valueBytes)
				crash.Kind, crash.Value = gossiper.KindCrash, make([]byte, valueBytes)
				n.resetBytes()
				startedAt := n.now
				n.send(0, n.nodes[0].Spread(n.now, bad, crash))
				now := func() time.Time { return n.now }
				took := n.run(10*time.Second, func() bool {
					return n.allNodes(hasFact(bad, now))() && n.allNodes(hasFact(crash, now))()
				})
				n.run(10*time.Second-n.now.Sub(startedAt), never)
				burst, _ := n.perSecond(10 * time.Second)
				n.run(costPeriod-n.now.Sub(startedAt), never)
				after, _ := n.perSecond(costPeriod)
				comment := qt.Commentf("%d members, values of %d bytes, seed %d: %s; %.0f bytes/s, highest %.0f; with the facts %.0f over 10 s, %.0f over %s", members, valueBytes, seed, took, mean, highest, burst, after, costPeriod)
				t.Log(comment)
				c.Check(took <= criticalWithin, qt.IsTrue, comment)
				c.Check(mean <= bytesPerSecond, qt.IsTrue, comment)
				c.Check(after <= bytesPerSecond, qt.IsTrue, comment)
			}
		}
	}
}

// TestAnEndpointCrashWithManyAttemptsReachesAllHosts spreads a hundred attempts in the facts that contain them.
func TestAnEndpointCrashWithManyAttemptsReachesAllHosts(t *testing.T) {
	c := qt.New(t)
	const facts, valueBytes, currentFleetSize = 3, 860, 8
	for _, members := range []int{8, 30, 350} {
		n := newNet(1, members, loss)
		n.run(10*time.Second, never)
		var crashes []gossiper.Fact
		for i := range facts {
			f := badVersion
			f.Kind, f.Subject, f.Value = gossiper.KindCrash, fmt.Sprint("attempt-", i), make([]byte, valueBytes)
			crashes = append(crashes, f)
		}
		now := func() time.Time { return n.now }
		n.resetBytes()
		startedAt := n.now
		n.send(0, n.nodes[0].Spread(n.now, crashes...))
		took := n.run(costPeriod, func() bool {
			return !slices.ContainsFunc(crashes, func(f gossiper.Fact) bool { return !n.allNodes(hasFact(f, now))() })
		})
		n.run(costPeriod-n.now.Sub(startedAt), never)
		after, _ := n.perSecond(costPeriod)
		comment := qt.Commentf("%d members: %s, %.0f bytes/s over %s", members, took, after, costPeriod)
		t.Log(comment)
		if members <= currentFleetSize {
			c.Check(took <= criticalWithin, qt.IsTrue, comment)
		}
		c.Check(after <= bytesPerSecond, qt.IsTrue, comment)
	}
}

func TestRefusedFactsAreCountedAndNotStored(t *testing.T) {
	c := qt.New(t)
	n := newNet(1, 3, 0)
	n.nodes[1].Accept = func(gossiper.Fact) bool { return false }
	n.nodes[1].Receive(n.now, gossiper.Message{Sender: n.nodes[0].Self, Facts: []gossiper.Fact{badVersion}})
	c.Check(n.nodes[1].Facts(n.now), qt.HasLen, 0)
	c.Check(n.nodes[1].TakeNewFacts(), qt.HasLen, 0)
	c.Check(n.nodes[1].TakeRefusedCount(), qt.Equals, 1)
	c.Check(n.nodes[1].TakeRefusedCount(), qt.Equals, 0)
}

func TestACrashedHostIsSuspectedUntilItReturns(t *testing.T) {
	c := qt.New(t)
	for _, members := range []int{3, 8, 30} {
		n := newNet(1, members, 0)
		n.run(10*time.Second, never)
		n.crashed[1] = true
		state := func(want gossiper.State) func(*gossiper.Gossiper) bool {
			return func(g *gossiper.Gossiper) bool {
				for _, m := range g.Members(n.now) {
					if m.Host == n.nodes[1].Self.Host {
						return m.State == want
					}
				}
				return g == n.nodes[1]
			}
		}
		took := n.run(20*time.Second, n.allNodes(state(gossiper.Suspect)))
		t.Logf("%d members: a crashed host is suspected by all after %s", members, took)
		c.Check(took < 10*time.Second, qt.IsTrue, qt.Commentf("%d members: %s", members, took))
		n.crashed[1] = false
		took = n.run(20*time.Second, n.allNodes(state(gossiper.Alive)))
		c.Check(took < 10*time.Second, qt.IsTrue, qt.Commentf("%d members, back after %s", members, took))
	}
}

func TestDrainingReachesAllHosts(t *testing.T) {
	c := qt.New(t)
	n := newNet(1, 8, loss)
	n.run(5*time.Second, never)
	n.send(2, n.nodes[2].Drain(n.now))
	took := n.run(10*time.Second, n.allNodes(func(g *gossiper.Gossiper) bool {
		for _, m := range g.Members(n.now) {
			if m.Host == n.nodes[2].Self.Host {
				return m.State == gossiper.Draining
			}
		}
		return g == n.nodes[2]
	}))
	c.Check(took <= criticalWithin, qt.IsTrue, qt.Commentf("%s", took))
}

func TestHigherRevisionsWinOnAllHosts(t *testing.T) {
	c := qt.New(t)
	n := newNet(1, 8, 0.2)
	n.run(2*time.Second, never)
	newer := badVersion
	newer.Revision = 2
	n.send(0, n.nodes[0].Spread(n.now, newer))
	n.send(5, n.nodes[5].Spread(n.now, badVersion))
	n.run(10*time.Second, never)
	c.Check(n.allNodes(hasFact(newer, func() time.Time { return n.now }))(), qt.IsTrue)
	n.now = badVersion.Expires.Add(time.Second)
	c.Check(n.nodes[3].Facts(n.now), qt.HasLen, 0)
}

func TestOtherFactsReachAllHostsInRotation(t *testing.T) {
	c := qt.New(t)
	n := newNet(1, 8, loss)
	ordinary := badVersion
	ordinary.Kind = "note"
	n.send(0, n.nodes[0].Spread(n.now, ordinary))
	took := n.run(30*time.Second, n.allNodes(hasFact(ordinary, func() time.Time { return n.now })))
	c.Check(took < 20*time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

func TestRecordsReachHostsThatDoNotHaveThem(t *testing.T) {
	c := qt.New(t)
	for _, members := range []int{8, 350} {
		n := newNet(1, members, loss)
		n.run(2*time.Second, never)
		record := gossiper.Record{Stream: "configuration", Offset: 12, Data: make([]byte, 1000), Appended: n.now}
		n.send(0, n.nodes[0].Publish(n.now, record))
		got := map[*gossiper.Gossiper]bool{n.nodes[0]: true}
		took := n.run(7*time.Second, n.allNodes(func(g *gossiper.Gossiper) bool {
			got[g] = got[g] || len(g.TakeNewRecords()) > 0
			return got[g]
		}))
		t.Logf("%d members: record on all hosts after %s", members, took)
		c.Check(took < 7*time.Second, qt.IsTrue, qt.Commentf("%d members", members))
	}
}
