package scheduler

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

const pool dotterelpulley.ServiceID = "s"

func with(slots int, ids ...dotterelpulley.EndpointID) *Scheduler {
	s := &Scheduler{Seed: 1}
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)}, Slots: slots})
	}
	s.SetEndpoints(pool, endpoints)
	return s
}

func work(id ID) Work {
	return Work{ID: id, Service: pool, Arrived: start, Objective: time.Second, Deadline: start.Add(10 * time.Second)}
}

// offer queues one piece of work and returns what becomes of it, nil if it waits.
func offer(s *Scheduler, now time.Time, w Work) Decision {
	s.Offer(w)
	for _, d := range s.Decide(now) {
		switch d := d.(type) {
		case Placed:
			if d.ID == w.ID {
				return d
			}
		case Refused:
			if d.ID == w.ID {
				return d
			}
		}
	}
	return nil
}

func TestWorkWaitsForASlotAndTheFirstRankGetsIt(t *testing.T) {
	c := qt.New(t)
	s := with(1, "a")
	c.Assert(offer(s, start, work(1)), qt.Satisfies, func(d Decision) bool { _, ok := d.(Placed); return ok })
	low := work(2)
	low.Rank = 1
	c.Assert(offer(s, start, low), qt.IsNil)
	c.Assert(offer(s, start, work(3)), qt.IsNil)
	s.Ended(start, 1, ResultCompleted)
	// The estimate of other hosts' placements doesn't apply to a host alone.
	decisions := s.Decide(start)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Placed).ID, qt.Equals, ID(3))
}

func TestWorkThatWaitedTooLongIsRefusedWithWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	s := with(1, "a")
	offer(s, start, work(1))
	c.Assert(offer(s, start, work(2)), qt.IsNil)
	at, ok := s.NextExpiry()
	c.Assert(ok, qt.IsTrue)
	decisions := s.Decide(at)
	c.Assert(decisions, qt.HasLen, 1)
	refused := decisions[0].(Refused)
	c.Assert(refused.Reason, qt.Equals, ReasonLoad)
	// A caller that comes back needs the time to be served.
	c.Assert(refused.RetryAfter > 0 && refused.RetryAfter < 5*time.Second, qt.IsTrue)
	c.Assert(s.Waiting(pool), qt.Equals, 0)
}

func TestNothingIsRefusedWhileAnEndpointIsFree(t *testing.T) {
	c := qt.New(t)
	s := with(4, "a", "b")
	for id := range ID(8) {
		c.Assert(offer(s, start, work(id)), qt.Satisfies, func(d Decision) bool { _, ok := d.(Placed); return ok })
	}
}

func TestTheQuickerEndpointGetsMore(t *testing.T) {
	c := qt.New(t)
	s := with(8, "quick", "slow")
	for id, gap := range map[dotterelpulley.EndpointID]time.Duration{"quick": 10 * time.Millisecond, "slow": 50 * time.Millisecond} {
		s.RecordPlacement(start, work(100), id)
		s.ObserveInterval(start, 100, gap)
		s.Ended(start, 100, ResultCompleted)
	}
	counts := map[dotterelpulley.EndpointID]int{}
	for id := range ID(8) {
		counts[offer(s, start, work(id)).(Placed).Endpoint.ID]++
	}
	c.Assert(counts["quick"] > counts["slow"], qt.IsTrue, qt.Commentf("%v", counts))
}

func TestAnEndpointThatFailsOrSaysNothingGetsNothing(t *testing.T) {
	c := qt.New(t)
	for name, happens := range map[string]func(*Scheduler) time.Time{
		"unreached": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultUnreachable)
			return start
		},
		"moved": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultWrongInstance)
			return start.Add(time.Second)
		},
		"full": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultRefused)
			return start
		},
		"silent": func(s *Scheduler) time.Time {
			s.ObserveFirstEvent(start, 1)
			return start.Add(silence + time.Millisecond)
		},
	} {
		s := with(4, "a")
		offer(s, start, work(1))
		now := happens(s)
		w := work(2)
		w.Arrived = now
		c.Check(offer(s, now, w), qt.IsNil, qt.Commentf(name))
		c.Check(s.Usable(now, pool), qt.IsFalse, qt.Commentf(name))
	}
}

func TestAnEndpointThatWasUnreachedIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	s := with(4, "a")
	offer(s, start, work(1))
	s.Ended(start, 1, ResultUnreachable)
	c.Assert(s.Usable(start.Add(leastSuspicion), pool), qt.IsTrue)
}

func TestWorkAvoidsTheEndpointsThatItFailedOn(t *testing.T) {
	c := qt.New(t)
	s := with(4, "a", "b")
	w := work(1)
	w.ExcludedEndpoints = map[dotterelpulley.EndpointID]bool{"a": true}
	c.Assert(offer(s, start, w).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("b"))
}

func TestAPromptThatWouldBeLateBehindOthersGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	s := with(8, "a", "b")
	long := work(1)
	long.Prompt = 50_000
	first := offer(s, start, long).(Placed).Endpoint.ID
	short := work(2)
	short.Prompt, short.Objective = 500, 400*time.Millisecond
	c.Assert(offer(s, start, short).(Placed).Endpoint.ID, qt.Not(qt.Equals), first)
}

func TestWithdrawnWorkIsForgotten(t *testing.T) {
	c := qt.New(t)
	s := with(1, "a")
	offer(s, start, work(1))
	offer(s, start, work(2))
	s.Withdraw(2, pool)
	s.Ended(start, 1, ResultCompleted)
	c.Assert(s.Decide(start), qt.HasLen, 0)
	c.Assert(s.Loads(), qt.HasLen, 0)
}

func TestOtherHostsRunsTakeSlots(t *testing.T) {
	c := qt.New(t)
	s := with(2, "a")
	s.SetHostReport(start, "other", HostReport{Loads: []Load{{Key: EndpointKey("a"), Running: 2}}})
	c.Assert(offer(s, start, work(1)), qt.IsNil)
	s.SetHostReport(start, "other", HostReport{})
	c.Assert(s.Decide(start), qt.HasLen, 1)
}

// A last free slot isn't taken while more urgent work waits for it on another host, unless that has grown late.
func TestAFreeSlotIsLeftToMoreUrgentWorkOfOtherHosts(t *testing.T) {
	c := qt.New(t)
	other := with(1, "a")
	offer(other, start, work(1))
	c.Assert(offer(other, start, work(2)), qt.IsNil)
	s := with(1, "a")
	s.SetHostReport(start, "other", HostReport{Waiting: other.HostReport(start).Waiting})
	low := work(1)
	low.Rank = 1
	c.Assert(offer(s, start, low), qt.IsNil)
	// Work of the same urgency doesn't wait.
	c.Assert(offer(s, start, work(2)), qt.IsNotNil)
	s.Ended(start, 2, ResultCompleted)
	late := start.Add(low.Objective)
	c.Assert(other.HostReport(late).Waiting, qt.HasLen, 0)
	s.SetHostReport(late, "other", HostReport{Waiting: other.HostReport(late).Waiting})
	c.Assert(s.Decide(late), qt.HasLen, 1)
}

// An answer too long for a slow endpoint goes to a quicker one, or waits for it.
func TestALongAnswerIsKeptFromAnEndpointThatCannotFinishIt(t *testing.T) {
	c := qt.New(t)
	s := with(1, "quick", "slow")
	id := ID(0)
	for range 20 {
		for endpoint, gap := range map[dotterelpulley.EndpointID]time.Duration{"quick": 10 * time.Millisecond, "slow": 100 * time.Millisecond} {
			id++
			w := work(id)
			s.RecordPlacement(start, w, endpoint)
			s.ObserveInterval(start, id, gap)
			s.Ended(start, id, ResultCompleted)
		}
	}
	long := work(id + 1)
	// 200 events take 2 s on the one and 20 s on the other; the deadline is 10 s.
	long.Prompt, long.Answer = 100, 200*stepsPerEvent
	c.Assert(offer(s, start, long).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("quick"))
	next := long
	next.ID++
	c.Assert(offer(s, start, next), qt.IsNil)
	short := long
	short.ID, short.Answer = id+3, 50*stepsPerEvent
	c.Assert(offer(s, start, short).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("slow"))
	// What no endpoint could finish goes wherever there is room.
	endless := long
	endless.ID, endless.Answer = id+4, 10_000*stepsPerEvent
	s.Ended(start, short.ID, ResultCompleted)
	c.Assert(offer(s, start, endless), qt.IsNotNil)
}

// What all hosts together run and what waits on them is kept up to date word by word.
func TestSumsAreThoseOfTheHostsLastWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []dotterelpulley.EndpointID{"a", "b", "c"}
		s := with(4, ids...)
		type word struct {
			at      time.Time
			loads   []Load
			waiting []WaitingCount
		}
		words := map[dotterelpulley.HostID]word{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
				s.SetEndpoints("other", []Endpoint{{Endpoint: dotterelpulley.Endpoint{ID: "c", Address: "c"}}})
				s.SetEndpoints(pool, []Endpoint{{Endpoint: dotterelpulley.Endpoint{ID: "a", Address: "a"}}, {Endpoint: dotterelpulley.Endpoint{ID: "b", Address: "b"}}})
			}
			host := dotterelpulley.HostID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "host"))
			w := word{at: now}
			for _, id := range ids {
				if n := rapid.IntRange(0, 3).Draw(t, "running"); n > 0 {
					w.loads = append(w.loads, Load{Key: EndpointKey(id), Running: n, Prompt: dotterelpulley.Tokens(n * 10)})
				}
			}
			if n := rapid.IntRange(0, 2).Draw(t, "waiting"); n > 0 {
				w.waiting = append(w.waiting, WaitingCount{Service: s.service(pool).key, Urgency: Urgency{Rank: Priority(n)}, Count: n})
			}
			words[host] = w
			s.SetHostReport(now, host, HostReport{Loads: w.loads, Waiting: w.waiting})
		}
		want, waits := map[uint32]Load{}, map[waitingKey]int{}
		for _, w := range words {
			if now.Sub(w.at) > forgetLoads {
				continue
			}
			for _, l := range w.loads {
				want[l.Key] = Load{Running: want[l.Key].Running + l.Running, Prompt: want[l.Key].Prompt + l.Prompt}
			}
			for _, one := range w.waiting {
				waits[waitingKey{one.Urgency, one.Service}] += one.Count
			}
		}
		for _, v := range s.services {
			for _, e := range v.order {
				if e.others != want[e.key] {
					t.Fatalf("%s: %+v, the last words say %+v", e.ID, e.others, want[e.key])
				}
			}
		}
		if !maps.Equal(s.waiting, waits) {
			t.Fatalf("waiting %v, the last words say %v", s.waiting, waits)
		}
	})
}

// An endpoint that crashed is known on all hosts as soon as one has found it dead, and until it has found otherwise.
func TestADeadEndpointIsKnownOnAllHosts(t *testing.T) {
	c := qt.New(t)
	finder, s := with(4, "a"), with(4, "a")
	offer(finder, start, work(1))
	finder.Ended(start, 1, ResultDead)
	c.Assert(finder.HostReport(start).DeadEndpoints, qt.DeepEquals, []uint32{EndpointKey("a")})
	s.SetHostReport(start, "finder", finder.HostReport(start))
	c.Assert(offer(s, start, work(1)), qt.IsNil)
	c.Assert(s.HostReport(start).DeadEndpoints, qt.HasLen, 0, qt.Commentf("only what a host saw itself is told"))
	// The finder tries again after a while, and no longer tells.
	later := start.Add(leastSuspicion)
	c.Assert(finder.HostReport(later).DeadEndpoints, qt.HasLen, 0)
	c.Assert(s.Decide(start.Add(deadTold)), qt.HasLen, 1)

	// A host that has just heard the endpoint knows better.
	knows := with(4, "a")
	offer(knows, start, work(1))
	knows.ObserveFirstEvent(start, 1)
	knows.SetHostReport(start, "finder", finder.HostReport(start))
	c.Assert(offer(knows, start, work(2)), qt.IsNotNil)

	// One that can't be reached may be cut off from this host alone.
	finder = with(4, "a")
	offer(finder, start, work(1))
	finder.Ended(start, 1, ResultUnreachable)
	c.Assert(finder.HostReport(start).DeadEndpoints, qt.HasLen, 0)
}
