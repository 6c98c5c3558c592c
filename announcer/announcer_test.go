package announcer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

func digest(id string, incarnation, sequence uint64) Digest {
	return Digest{Host: Host{ID: dotterelpulley.HostID(id), PeerAddress: dotterelpulley.Address(id + ":1")}, Incarnation: incarnation, Sequence: sequence, State: Serving}
}

func TestEncodedDigestsKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	d := Digest{
		Host:  Host{ID: "h", Zone: "z", PeerAddress: "p:1", CallerAddress: "c:1"},
		Start: 16, Incarnation: 1, Sequence: 2, State: Draining, Configuration: 3, StoreUnreachable: true,
		Loads:    []Load{{Key: 4, Running: 5, PromptTokens: 6}, {Key: 7}},
		Usage:    map[dotterelpulley.OrganisationID]float64{"t1": 8.5, "t2": -1},
		Counted:  12345 * time.Millisecond,
		Parts:    []PartFact{{Part: 1 << 63, Incident: 1 << 31, Evidence: 7, Age: 20 * time.Minute}, {Part: 21}},
		Requests: []PartFact{{Part: 22, Incident: 23, Evidence: 1, Age: time.Second}}, TellsRequests: true,
		Crashes:       []Crash{{Fingerprint: 9, Attempt: 10, Endpoint: 11}},
		Waiting:       []Waiting{{Service: 12, Priority: 1, Rank: 2, Count: 13}, {Service: 14, Count: 1}},
		DeadEndpoints: []uint32{15, 1 << 31}, LeavingInstances: []uint32{17, 1 << 30},
		Updates:             []Update{{Host: "x", Incarnation: 19, Suspected: true}, {Host: "y", Incarnation: 20}},
		Paces:               []Pace{{Key: 18, EventInterval: 30 * time.Millisecond, PrefillPerToken: 17 * time.Microsecond}},
		Limits:              []EndpointLimit{{Instance: 22, PerSecond: 1.3, Age: 23 * time.Millisecond}, {Instance: 1 << 31, Lifted: true}},
		UnreachableServices: []uint32{26, 1 << 31},
		BrittleServices:     []BrittleService{{Service: 24, Age: 25 * time.Second}, {Service: 1 << 30}},
	}
	got, err := Decode(d.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, d)
	for cut := range d.Encode() {
		// A truncated datagram may be decoded in part but must not panic.
		_, _ = Decode(d.Encode()[:cut])
	}
	_, err = Decode(nil)
	c.Assert(err, qt.ErrorMatches, "decode digest: no host id")
}

func TestAHostIsActiveUntilItsDigestsStop(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}}
	fresh, appeared := a.Receive(start, digest("b", 1, 1))
	c.Assert(fresh && appeared, qt.IsTrue)
	c.Assert(a.ActiveMembers(start), qt.HasLen, 1)
	c.Assert(a.ActiveMembers(start.Add(baseSilenceTimeout+1)), qt.HasLen, 0)
	fresh, appeared = a.Receive(start.Add(2*time.Second), digest("b", 1, 2))
	c.Assert(fresh && appeared, qt.IsTrue)
	leaving := digest("b", 1, 3)
	leaving.State = Left
	a.Receive(start.Add(2*time.Second), leaving)
	c.Assert(a.ActiveMembers(start.Add(2*time.Second)), qt.HasLen, 0)
}

func TestOutdatedDigestsAreIgnored(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}}
	a.Receive(start, digest("b", 2, 5))
	for _, outdated := range []Digest{digest("b", 2, 5), digest("b", 2, 4), digest("b", 1, 9), digest("self", 9, 9)} {
		fresh, _ := a.Receive(start, outdated)
		c.Check(fresh, qt.IsFalse)
	}
	fresh, _ := a.Receive(start, digest("b", 3, 1))
	c.Assert(fresh, qt.IsTrue)
}

func TestSilentAndUnknownHostsAreRetriedAtIntervals(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}}
	a.AddHost(start, Host{ID: "named", PeerAddress: "named:1"})
	a.AddSeed("seed:1")
	a.AddSeed("self:1")
	a.Receive(start, digest("b", 1, 1))
	c.Assert(a.Targets(start, Digest{}), qt.DeepEquals, []dotterelpulley.Address{"b:1", "named:1", "seed:1"})
	c.Assert(a.Targets(start.Add(baseInterval), Digest{}), qt.DeepEquals, []dotterelpulley.Address{"b:1"})
	c.Assert(a.Targets(start.Add(forgetAfter+time.Second), Digest{}), qt.DeepEquals, []dotterelpulley.Address{"seed:1"})
	c.Assert(a.HeardCount(), qt.Equals, 1)
}

func TestBriefDigestsKeepTheAddresses(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}}
	brief := func(incarnation, sequence uint64) Digest {
		d := digest("b", incarnation, sequence)
		d.Brief, d.Loads = true, []Load{{Key: 1, Running: 2}}
		got, err := Decode(d.Encode())
		c.Assert(err, qt.IsNil)
		return got.(Digest)
	}
	fresh, _ := a.Receive(start, brief(1, 1))
	c.Assert(fresh, qt.IsFalse, qt.Commentf("the host's addresses are unknown"))
	a.Receive(start, digest("b", 1, 2))
	fresh, _ = a.Receive(start, brief(1, 3))
	c.Assert(fresh, qt.IsTrue)
	members := a.ActiveMembers(start)
	c.Assert(members[0].PeerAddress, qt.Equals, dotterelpulley.Address("b:1"))
	c.Assert(members[0].Loads, qt.HasLen, 1)
	c.Assert(a.Brief(1), qt.IsFalse, qt.Commentf("all digests of a small fleet are full"))
}

func TestALargeFleetIsReachedOverSeveralDigests(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}, Seed: 1}
	const count = 100
	for i := range count {
		a.Receive(start, digest(fmt.Sprint("h", i), 1, 1))
	}
	sent := map[dotterelpulley.Address]bool{}
	for range 60 {
		targets := a.Targets(start, Digest{})
		c.Assert(targets, qt.HasLen, fullMeshLimit)
		for _, one := range targets {
			sent[one] = true
		}
	}
	c.Assert(sent, qt.HasLen, count)
}

func TestTheFirstDigestsAreFull(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self"}}
	for i := range fullMeshLimit + 1 {
		a.AddHost(start, Host{ID: dotterelpulley.HostID(fmt.Sprint(i)), PeerAddress: "peer:1"})
	}
	c.Assert(a.ExpectedCount(), qt.Equals, fullMeshLimit+2)
	brief := 0
	for sequence := uint64(1); sequence <= startupDigests; sequence++ {
		if a.Brief(sequence) {
			brief++
		}
	}
	c.Assert(brief, qt.Equals, 0)
	c.Assert(a.Brief(startupDigests+1), qt.IsTrue)
}

// Traffic between zones costs more, and hosts of one zone place most work on the same endpoints.
func TestBriefDigestsGoMostlyToTheOwnZone(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", Zone: "near", PeerAddress: "self:1"}, Seed: 1}
	for i := range 80 {
		d := digest(fmt.Sprint("h", i), 1, 1)
		d.Zone = "far"
		if i%4 == 0 {
			d.Zone = "near"
		}
		a.Receive(start, d)
	}
	sent := map[dotterelpulley.Address]int{}
	for range 100 {
		for _, one := range a.Targets(start, Digest{Brief: true}) {
			sent[one]++
		}
	}
	near, far := 0, 0
	for i := range 80 {
		n := sent[dotterelpulley.Address(fmt.Sprint("h", i, ":1"))]
		c.Assert(n > 0, qt.IsTrue, qt.Commentf("h%d was never a target", i))
		if i%4 == 0 {
			near += n
		} else {
			far += n
		}
	}
	c.Assert(near, qt.Equals, 100*sameZoneTargets)
	c.Assert(far, qt.Equals, 100*(fullMeshLimit-sameZoneTargets))
}

func startedDigest(start, incarnation, sequence uint64) Digest {
	d := digest("b", incarnation, sequence)
	d.Start = start
	return d
}

// Guards against a host that is ignored as outdated after a restart: its incarnation was the time of day at its start, which
// jumps, and no disk keeps the last one.
func TestARestartedHostLearnsItsIncarnationFromItsPeers(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "self:1"}}
	a.Receive(start, startedDigest(100, 7, 50))
	identity := Identity{Start: 200, Incarnation: 1}
	d := startedDigest(identity.Start, identity.Incarnation, 1)
	fresh, _ := a.Receive(start, d)
	c.Assert(fresh, qt.IsFalse)
	correction, ok := a.Correct(d)
	c.Assert(ok, qt.IsTrue)
	sent, err := Decode(correction.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(identity.Accept(sent.(Correction)), qt.IsTrue)
	fresh, _ = a.Receive(start, startedDigest(identity.Start, identity.Incarnation, 1))
	c.Assert(fresh, qt.IsTrue)

	late := startedDigest(100, 7, 51)
	fresh, _ = a.Receive(start, late)
	c.Assert(fresh, qt.IsFalse, qt.Commentf("a late digest of the earlier start"))
	correction, ok = a.Correct(late)
	c.Assert(ok, qt.IsTrue)
	c.Assert(identity.Accept(correction), qt.IsFalse, qt.Commentf("the correction names the host's current start"))
	_, ok = a.Correct(startedDigest(identity.Start, identity.Incarnation, 1))
	c.Assert(ok, qt.IsFalse, qt.Commentf("a digest that arrived twice"))
}

// Whatever incarnations the peers remember, in whatever order digests, corrections and restarts come, all peers accept the
// latest start once the messages get through.
func TestTheLatestStartPrevails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := make([]Announcer, 3)
		for i := range peers {
			peers[i].Self = Host{ID: dotterelpulley.HostID(fmt.Sprint("peer-", i))}
		}
		var identity Identity
		starts := rapid.IntRange(1, 5).Draw(t, "starts")
		for n := range starts {
			identity = Identity{Start: uint64(n + 1), Incarnation: 1}
			var undelivered []Correction
			for range rapid.IntRange(0, 12).Draw(t, "digests") {
				identity.Sequence++
				d := startedDigest(identity.Start, identity.Incarnation, identity.Sequence)
				i := rapid.IntRange(0, len(peers)-1).Draw(t, "peer")
				peers[i].Receive(start, d)
				if correction, ok := peers[i].Correct(d); ok {
					undelivered = append(undelivered, correction)
				}
				if len(undelivered) > 0 && rapid.Bool().Draw(t, "delivered") {
					identity.Accept(undelivered[0])
					undelivered = undelivered[1:]
				}
			}
		}
		for i := range peers {
			for accepted := false; !accepted; {
				identity.Sequence++
				d := startedDigest(identity.Start, identity.Incarnation, identity.Sequence)
				accepted, _ = peers[i].Receive(start, d)
				if correction, ok := peers[i].Correct(d); !accepted && (!ok || !identity.Accept(correction)) {
					t.Fatalf("peer %d ignores start %d under incarnation %d and doesn't correct it", i, identity.Start, identity.Incarnation)
				}
			}
			if got := peers[i].members["b"].Start; got != identity.Start {
				t.Fatalf("peer %d knows start %d instead of %d", i, got, identity.Start)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(digest("b", 1, 2).Encode())
	f.Add(Correction{Host: "b", Start: 1, Incarnation: 2}.Encode())
	f.Add(UsageHistory{Known: time.Second, Slot: time.Millisecond, Usage: map[dotterelpulley.OrganisationID][]float64{"t1": {1}}}.Encode())
	f.Add([]byte{0x92, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Decode(m.Encode()); err != nil {
			t.Fatalf("a decoded message can't be decoded again: %v", err)
		}
	})
}

// Hosts cut off from each other for long divided bounds over all hosts by themselves alone.
func TestRemovedHostsCountAsPossiblyRunning(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "127.0.0.1:1"}}
	now := start
	for i, state := range []State{Serving, Draining, Left} {
		host := Host{ID: dotterelpulley.HostID(state.String()), PeerAddress: dotterelpulley.Address(fmt.Sprintf("127.0.0.1:%d", 2+i))}
		a.Receive(now, Digest{Host: host, Start: 1, Incarnation: 1, Sequence: 1, State: state})
	}
	c.Assert(a.PossibleCount(now), qt.Equals, 3)
	cutFor := func(d time.Duration) time.Time {
		for range int(d / time.Second) {
			now = now.Add(time.Second)
			a.Targets(now, Digest{})
		}
		return now
	}
	c.Assert(a.PossibleCount(cutFor(time.Minute)), qt.Equals, 3)
	c.Assert(a.HeardCount(), qt.Equals, 1)
	a.Receive(now, Digest{Host: Host{ID: "serving", PeerAddress: "127.0.0.1:2"}, Start: 1, Incarnation: 1, Sequence: 2, State: Serving})
	c.Assert(a.PossibleCount(now), qt.Equals, 3)
	c.Assert(a.PossibleCount(cutFor(11*time.Minute)), qt.Equals, 1)
}

// A faulty host that told ever new ids of itself filled the memory of the others.
func TestIDsThatAFaultyHostMakesUpFillTheMemory(t *testing.T) {
	c := qt.New(t)
	a := Announcer{Self: Host{ID: "self", PeerAddress: "10.0.0.1:1"}}
	now := time.Unix(1000, 0)
	known := Digest{Host: Host{ID: "known", PeerAddress: "10.0.0.2:1"}, Sequence: 1}
	fresh, _ := a.Receive(now, known)
	c.Assert(fresh, qt.IsTrue)
	for n := range 3 * maxMembers {
		a.Receive(now, Digest{Host: Host{ID: dotterelpulley.HostID(fmt.Sprint(n)), PeerAddress: dotterelpulley.Address(fmt.Sprintf("10.0.0.3:%d", n))}, Sequence: 1})
	}
	c.Assert(len(a.members) <= maxMembers, qt.IsTrue, qt.Commentf("%d members", len(a.members)))
	c.Assert(len(a.zones) <= maxMembers, qt.IsTrue, qt.Commentf("%d zones", len(a.zones)))
	known.Sequence++
	fresh, _ = a.Receive(now, known)
	c.Assert(fresh, qt.IsTrue)
}
