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

// cluster simulates hosts that share endpoints and exchange crashes.
type cluster struct {
	now      time.Time
	hosts    [3]isolator.Isolator
	attempts int
	lost     map[isolator.Fingerprint]int
	// inFlight holds the harmless requests in flight, by endpoint.
	inFlight map[dotterelpulley.EndpointID][]isolator.AttemptID
}

const crashingRequest = isolator.Fingerprint(1)

func newCluster() *cluster {
	return &cluster{now: time.Unix(1_800_000_000, 0), lost: map[isolator.Fingerprint]int{}, inFlight: map[dotterelpulley.EndpointID][]isolator.AttemptID{}}
}

func (cl *cluster) attempt() isolator.AttemptID {
	cl.attempts++
	return isolator.AttemptOf(fmt.Sprint(cl.attempts))
}

// run sends the request through a host; the crashing request crashes its endpoint.
func (cl *cluster) run(host int, f isolator.Fingerprint, endpoint dotterelpulley.EndpointID) isolator.Verdict {
	cl.now = cl.now.Add(time.Second)
	h := &cl.hosts[host]
	verdict, avoid := h.Check(cl.now, f)
	if verdict == isolator.Isolated {
		return verdict
	}
	for _, a := range avoid {
		if a == endpoint {
			endpoint += "-other"
		}
	}
	attempt := cl.attempt()
	h.Started(cl.now, f, endpoint, attempt)
	if f != crashingRequest {
		cl.inFlight[endpoint] = append(cl.inFlight[endpoint], attempt)
		return verdict
	}
	cl.lost[f]++
	cl.now = cl.now.Add(time.Millisecond)
	delete(cl.inFlight, endpoint)
	for _, crash := range h.EndpointCrashed(cl.now, endpoint) {
		for i := range cl.hosts {
			cl.hosts[i].AddCrash(crash)
		}
	}
	return verdict
}

func TestCrashingRequestIsIsolatedOnAllHostsAndOthersAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster()
		harmless := map[isolator.Fingerprint]bool{}
		for range rapid.IntRange(3, 40).Draw(t, "steps") {
			host := rapid.IntRange(0, 2).Draw(t, "host")
			endpoint := dotterelpulley.EndpointID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint"))
			f := isolator.Fingerprint(rapid.Uint64Range(1, 6).Draw(t, "fingerprint"))
			if f != crashingRequest {
				harmless[f] = true
			}
			cl.run(host, f, endpoint)
		}
		if cl.lost[crashingRequest] > 2 {
			t.Fatalf("%d endpoints lost", cl.lost[crashingRequest])
		}
		for i := range cl.hosts {
			for f := range harmless {
				if v, _ := cl.hosts[i].Check(cl.now, f); v == isolator.Isolated {
					t.Fatalf("harmless request %d is isolated", f)
				}
			}
		}
	})
}

// TestBlamingAllRunningRequestsHitsHarmlessOnes counts every request that was running at a crash, as the naive version does.
func TestBlamingAllRunningRequestsHitsHarmlessOnes(t *testing.T) {
	c := qt.New(t)
	present := map[isolator.Fingerprint]int{}
	var i isolator.Isolator
	now := time.Unix(1_800_000_000, 0)
	for crash := range 2 {
		endpoint := dotterelpulley.EndpointID(fmt.Sprint("e", crash))
		for f := isolator.Fingerprint(1); f <= 3; f++ {
			if v, _ := i.Check(now, f); v == isolator.Suspect && f != crashingRequest {
				continue
			}
			i.Started(now, f, endpoint, isolator.AttemptOf(fmt.Sprint(crash, "-", f)))
		}
		for f := isolator.Fingerprint(1); f <= 3; f++ {
			present[f]++
		}
		now = now.Add(time.Second)
		i.EndpointCrashed(now, endpoint)
	}
	c.Check(present[2] >= 2, qt.IsTrue)
	v, _ := i.Check(now, 1)
	c.Check(v, qt.Equals, isolator.Isolated)
	v, _ = i.Check(now, 2)
	c.Check(v, qt.Equals, isolator.Suspect)
}

func TestSuspectIsClearedByACompletedRunAndCrashesExpire(t *testing.T) {
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
