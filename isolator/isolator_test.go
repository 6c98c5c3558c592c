package isolator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/isolator"
)

// bench runs a few hosts that share endpoints and tell each other of deaths.
type bench struct {
	now      time.Time
	hosts    [3]isolator.Isolator
	attempts int
	lost     map[isolator.Fingerprint]int
	// beside are the innocent requests now in flight, by endpoint.
	beside map[dotterelpulley.EndpointID][]isolator.AttemptID
}

const killer = isolator.Fingerprint(1)

func newBench() *bench {
	return &bench{now: time.Unix(1_800_000_000, 0), lost: map[isolator.Fingerprint]int{}, beside: map[dotterelpulley.EndpointID][]isolator.AttemptID{}}
}

func (b *bench) attempt() isolator.AttemptID {
	b.attempts++
	return isolator.AttemptOf(fmt.Sprint(b.attempts))
}

// run sends the request through a host, which loses its endpoint if it is the killer.
func (b *bench) run(host int, f isolator.Fingerprint, endpoint dotterelpulley.EndpointID) isolator.Verdict {
	b.now = b.now.Add(time.Second)
	h := &b.hosts[host]
	verdict, avoid := h.Check(b.now, f)
	if verdict == isolator.Isolated {
		return verdict
	}
	for _, a := range avoid {
		if a == endpoint {
			endpoint += "-other"
		}
	}
	attempt := b.attempt()
	h.Started(b.now, f, endpoint, attempt)
	if f != killer {
		b.beside[endpoint] = append(b.beside[endpoint], attempt)
		return verdict
	}
	b.lost[f]++
	b.now = b.now.Add(time.Millisecond)
	delete(b.beside, endpoint)
	for _, d := range h.EndpointCrashed(b.now, endpoint) {
		for i := range b.hosts {
			b.hosts[i].AddCrash(d)
		}
	}
	return verdict
}

func TestKillerIsIsolatedEverywhereAndInnocentsAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		innocents := map[isolator.Fingerprint]bool{}
		for range rapid.IntRange(3, 40).Draw(t, "steps") {
			host := rapid.IntRange(0, 2).Draw(t, "host")
			endpoint := dotterelpulley.EndpointID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint"))
			f := isolator.Fingerprint(rapid.Uint64Range(1, 6).Draw(t, "fingerprint"))
			if f != killer {
				innocents[f] = true
			}
			b.run(host, f, endpoint)
		}
		if b.lost[killer] > 2 {
			t.Fatalf("%d endpoints lost", b.lost[killer])
		}
		for i := range b.hosts {
			for f := range innocents {
				if v, _ := b.hosts[i].Check(b.now, f); v == isolator.Isolated {
					t.Fatalf("innocent request %d is isolated", f)
				}
			}
		}
	})
}

// TestNaiveBlameHitsInnocents counts by mere presence at a death, as the naive version does.
func TestNaiveBlameHitsInnocents(t *testing.T) {
	c := qt.New(t)
	naive := map[isolator.Fingerprint]int{}
	var i isolator.Isolator
	now := time.Unix(1_800_000_000, 0)
	for death := range 2 {
		endpoint := dotterelpulley.EndpointID(fmt.Sprint("e", death))
		for f := isolator.Fingerprint(1); f <= 3; f++ {
			if v, _ := i.Check(now, f); v == isolator.Suspect && f != killer {
				continue
			}
			i.Started(now, f, endpoint, isolator.AttemptOf(fmt.Sprint(death, "-", f)))
		}
		for f := isolator.Fingerprint(1); f <= 3; f++ {
			naive[f]++
		}
		now = now.Add(time.Second)
		i.EndpointCrashed(now, endpoint)
	}
	c.Check(naive[2] >= 2, qt.IsTrue)
	v, _ := i.Check(now, 1)
	c.Check(v, qt.Equals, isolator.Isolated)
	v, _ = i.Check(now, 2)
	c.Check(v, qt.Equals, isolator.Suspect)
}

func TestSuspectIsClearedByAWholeRunAndDeathsExpire(t *testing.T) {
	c := qt.New(t)
	var i isolator.Isolator
	now := time.Unix(1_800_000_000, 0)
	i.Started(now.Add(-time.Second), 7, "e1", isolator.AttemptOf("a"))
	c.Assert(i.EndpointCrashed(now, "e1"), qt.HasLen, 1)
	v, _ := i.Check(now, 7)
	c.Check(v, qt.Equals, isolator.Suspect)
	i.Completed(now.Add(time.Second), 7)
	v, _ = i.Check(now.Add(time.Second), 7)
	c.Check(v, qt.Equals, isolator.Unrestricted)
	for _, attempt := range []string{"b", "c"} {
		c.Check(i.AddCrash(isolator.Crash{Fingerprint: 8, Endpoint: dotterelpulley.EndpointID("e" + attempt), Attempt: isolator.AttemptOf(attempt), Started: now.Add(-time.Second), At: now}), qt.IsTrue)
	}
	c.Check(i.AddCrash(isolator.Crash{Fingerprint: 8, Endpoint: "e2", Attempt: isolator.AttemptOf("c"), At: now}), qt.IsFalse)
	v, _ = i.Check(now, 8)
	c.Check(v, qt.Equals, isolator.Isolated)
	later := now.Add(2 * time.Hour)
	i.Prune(later)
	v, _ = i.Check(later, 8)
	c.Check(v, qt.Equals, isolator.Unrestricted)
}
