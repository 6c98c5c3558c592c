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

const testService dotterelpulley.ServiceID = "s"

func newScheduler(slots int, ids ...dotterelpulley.EndpointID) *Scheduler {
	s := &Scheduler{Seed: 1}
	var endpoints []Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, Endpoint{Endpoint: dotterelpulley.Endpoint{ID: id, Address: dotterelpulley.Address(id)}, Slots: slots})
	}
	s.SetEndpoints(testService, endpoints)
	return s
}

func work(id ID) Work {
	return Work{ID: id, Service: testService, Arrived: start, Objective: time.Second, Deadline: start.Add(10 * time.Second)}
}

// offer queues one piece of work and returns its decision, nil if it waits.
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

func TestFreeSlotGoesToTheHighestRankedWork(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(1, "a")
	c.Assert(offer(s, start, work(1)), qt.Satisfies, func(d Decision) bool { _, ok := d.(Placed); return ok })
	low := work(2)
	low.Rank = 1
	c.Assert(offer(s, start, low), qt.IsNil)
	c.Assert(offer(s, start, work(3)), qt.IsNil)
	s.Ended(start, 1, ResultCompleted)
	// Without other hosts, no unreported placements are assumed.
	decisions := s.Decide(start)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Placed).ID, qt.Equals, ID(3))
}

func TestWorkThatWaitedTooLongIsRefusedWithRetryAfter(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(1, "a")
	offer(s, start, work(1))
	c.Assert(offer(s, start, work(2)), qt.IsNil)
	at, ok := s.NextExpiry()
	c.Assert(ok, qt.IsTrue)
	decisions := s.Decide(at)
	c.Assert(decisions, qt.HasLen, 1)
	refused := decisions[0].(Refused)
	c.Assert(refused.Reason, qt.Equals, ReasonLoad)
	// The retry has to come early enough to be served before the deadline.
	c.Assert(refused.RetryAfter > 0 && refused.RetryAfter < 5*time.Second, qt.IsTrue)
	c.Assert(s.Waiting(testService), qt.Equals, 0)
}

func TestNothingIsRefusedWhileAnEndpointIsFree(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(4, "a", "b")
	for id := range ID(8) {
		c.Assert(offer(s, start, work(id)), qt.Satisfies, func(d Decision) bool { _, ok := d.(Placed); return ok })
	}
}

func TestFasterEndpointGetsMoreWork(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(8, "quick", "slow")
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

func TestFailingOrSilentEndpointIsBlocked(t *testing.T) {
	c := qt.New(t)
	for name, event := range map[string]func(*Scheduler) time.Time{
		"unreachable": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultUnreachable)
			return start
		},
		"wrong instance": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultWrongInstance)
			return start.Add(time.Second)
		},
		"full": func(s *Scheduler) time.Time {
			s.Ended(start, 1, ResultRefused)
			return start
		},
		"silent": func(s *Scheduler) time.Time {
			s.ObserveFirstEvent(start, 1)
			return start.Add(silenceTimeout + time.Millisecond)
		},
	} {
		s := newScheduler(4, "a")
		offer(s, start, work(1))
		now := event(s)
		w := work(2)
		w.Arrived = now
		c.Check(offer(s, now, w), qt.IsNil, qt.Commentf(name))
		c.Check(s.Usable(now, testService), qt.IsFalse, qt.Commentf(name))
	}
}

func TestUnreachableEndpointIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(4, "a")
	offer(s, start, work(1))
	s.Ended(start, 1, ResultUnreachable)
	c.Assert(s.Usable(start.Add(minUnreachablePause), testService), qt.IsTrue)
}

func TestWorkAvoidsExcludedEndpoints(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(4, "a", "b")
	w := work(1)
	w.ExcludedEndpoints = map[dotterelpulley.EndpointID]bool{"a": true}
	c.Assert(offer(s, start, w).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("b"))
}

func TestPromptAvoidsEndpointWithLongPrefillQueue(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(8, "a", "b")
	long := work(1)
	long.Prompt = 50_000
	first := offer(s, start, long).(Placed).Endpoint.ID
	short := work(2)
	short.Prompt, short.Objective = 500, 400*time.Millisecond
	c.Assert(offer(s, start, short).(Placed).Endpoint.ID, qt.Not(qt.Equals), first)
}

func TestWithdrawnWorkIsRemoved(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(1, "a")
	offer(s, start, work(1))
	offer(s, start, work(2))
	s.Withdraw(2, testService)
	s.Ended(start, 1, ResultCompleted)
	c.Assert(s.Decide(start), qt.HasLen, 0)
	c.Assert(s.Loads(), qt.HasLen, 0)
}

func TestRunsOfOtherHostsOccupySlots(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(2, "a")
	s.SetHostReport(start, "other", HostReport{Loads: []Load{{Key: EndpointKey("a"), Running: 2}}})
	c.Assert(offer(s, start, work(1)), qt.IsNil)
	s.SetHostReport(start, "other", HostReport{})
	c.Assert(s.Decide(start), qt.HasLen, 1)
}

// The last free slot is left to more urgent work queued on another host, until that work is late.
func TestFreeSlotIsLeftToMoreUrgentWorkOnOtherHosts(t *testing.T) {
	c := qt.New(t)
	other := newScheduler(1, "a")
	offer(other, start, work(1))
	c.Assert(offer(other, start, work(2)), qt.IsNil)
	s := newScheduler(1, "a")
	s.SetHostReport(start, "other", HostReport{Waiting: other.HostReport(start).Waiting})
	low := work(1)
	low.Rank = 1
	c.Assert(offer(s, start, low), qt.IsNil)
	// Work of the same urgency does not give way.
	c.Assert(offer(s, start, work(2)), qt.IsNotNil)
	s.Ended(start, 2, ResultCompleted)
	late := start.Add(low.Objective)
	c.Assert(other.HostReport(late).Waiting, qt.HasLen, 0)
	s.SetHostReport(late, "other", HostReport{Waiting: other.HostReport(late).Waiting})
	c.Assert(s.Decide(late), qt.HasLen, 1)
}

// An answer too long for a slow endpoint is placed on a faster one, or waits for it.
func TestLongAnswerAvoidsEndpointThatWouldMissItsDeadline(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(1, "quick", "slow")
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
	// 200 events take 2 s on the fast endpoint and 20 s on the slow one; the deadline is 10 s.
	long.Prompt, long.Answer = 100, 200*defaultTokensPerEvent
	c.Assert(offer(s, start, long).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("quick"))
	next := long
	next.ID++
	c.Assert(offer(s, start, next), qt.IsNil)
	short := long
	short.ID, short.Answer = id+3, 50*defaultTokensPerEvent
	c.Assert(offer(s, start, short).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("slow"))
	// Work that no endpoint is likely to complete in time runs on the fastest one only.
	endless := long
	endless.ID, endless.Answer = id+4, 10_000*defaultTokensPerEvent
	s.Ended(start, short.ID, ResultCompleted)
	s.Withdraw(next.ID, testService)
	c.Assert(offer(s, start, endless), qt.IsNil)
	s.Ended(start, long.ID, ResultCompleted)
	decisions := s.Decide(start)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("quick"))
}

// Guards against long answers that are begun where they can't end, as events hold fewer tokens than elsewhere.
func TestTheTokensInAnEventAreMeasured(t *testing.T) {
	c := qt.New(t)
	for _, perEvent := range []int{1, 3, 8} {
		s := newScheduler(1, "quick", "slow")
		id := ID(0)
		for range 20 {
			for endpoint, gap := range map[dotterelpulley.EndpointID]time.Duration{"quick": 10 * time.Millisecond, "slow": 100 * time.Millisecond} {
				id++
				w := work(id)
				w.Prompt, w.Answer = 10, 60
				s.RecordPlacement(start, w, endpoint)
				s.ObserveFirstEvent(start, id)
				for range 60/perEvent - 1 {
					s.ObserveInterval(start, id, gap)
				}
				s.Ended(start, id, ResultCompleted)
			}
		}
		blocker := work(id + 1)
		c.Assert(offer(s, start, blocker).(Placed).Endpoint.ID, qt.Equals, dotterelpulley.EndpointID("quick"))
		// The slow endpoint completes 90 events of 100 ms within nine tenths of the deadline of 10 s.
		long, short := work(id+2), work(id+3)
		long.Prompt, long.Answer = 10, dotterelpulley.Tokens(100*perEvent)
		short.Prompt, short.Answer = 10, dotterelpulley.Tokens(80*perEvent)
		comment := qt.Commentf("%d tokens in an event", perEvent)
		c.Check(offer(s, start, long), qt.IsNil, comment)
		c.Check(offer(s, start, short), qt.Satisfies, isPlaced, comment)
	}
}

// The sums of running and waiting work are updated incrementally with each host report.
func TestPeerSumsMatchTheLastHostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []dotterelpulley.EndpointID{"a", "b", "c"}
		s := newScheduler(4, ids...)
		type report struct {
			at      time.Time
			loads   []Load
			waiting []WaitingCount
		}
		reports := map[dotterelpulley.HostID]report{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "replaced") == 0 {
				s.SetEndpoints("other", []Endpoint{{Endpoint: dotterelpulley.Endpoint{ID: "c", Address: "c"}}})
				s.SetEndpoints(testService, []Endpoint{{Endpoint: dotterelpulley.Endpoint{ID: "a", Address: "a"}}, {Endpoint: dotterelpulley.Endpoint{ID: "b", Address: "b"}}})
			}
			host := dotterelpulley.HostID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "host"))
			r := report{at: now}
			for _, id := range ids {
				if n := rapid.IntRange(0, 3).Draw(t, "running"); n > 0 {
					r.loads = append(r.loads, Load{Key: EndpointKey(id), Running: n, Prompt: dotterelpulley.Tokens(n * 10)})
				}
			}
			if n := rapid.IntRange(0, 2).Draw(t, "waiting"); n > 0 {
				r.waiting = append(r.waiting, WaitingCount{Service: s.service(testService).key, Urgency: Urgency{Rank: Priority(n)}, Count: n})
			}
			reports[host] = r
			s.SetHostReport(now, host, HostReport{Loads: r.loads, Waiting: r.waiting})
		}
		wantLoads, wantWaiting := map[uint32]Load{}, map[waitingKey]int{}
		for _, r := range reports {
			if now.Sub(r.at) > hostReportTTL {
				continue
			}
			for _, l := range r.loads {
				wantLoads[l.Key] = Load{Running: wantLoads[l.Key].Running + l.Running, Prompt: wantLoads[l.Key].Prompt + l.Prompt}
			}
			for _, count := range r.waiting {
				wantWaiting[waitingKey{count.Urgency, count.Service}] += count.Count
			}
		}
		for _, v := range s.services {
			for _, e := range v.sorted {
				if e.peerLoad != wantLoads[e.key] {
					t.Fatalf("%s: peer load %+v, the last reports say %+v", e.ID, e.peerLoad, wantLoads[e.key])
				}
			}
		}
		if !maps.Equal(s.peerWaiting, wantWaiting) {
			t.Fatalf("waiting %v, the last reports say %v", s.peerWaiting, wantWaiting)
		}
	})
}

// A dead endpoint is blocked on all hosts from the report of the first host that finds it until that host stops reporting it.
func TestDeadEndpointIsReportedToOtherHosts(t *testing.T) {
	c := qt.New(t)
	reporter, s := newScheduler(4, "a"), newScheduler(4, "a")
	offer(reporter, start, work(1))
	reporter.Ended(start, 1, ResultDead)
	c.Assert(reporter.HostReport(start).DeadEndpoints, qt.DeepEquals, []uint32{EndpointKey("a")})
	s.SetHostReport(start, "reporter", reporter.HostReport(start))
	c.Assert(offer(s, start, work(1)), qt.IsNil)
	c.Assert(s.HostReport(start).DeadEndpoints, qt.HasLen, 0, qt.Commentf("a host reports only what it observed itself"))
	// The host that found it tries again after the pause and no longer reports it.
	later := start.Add(minUnreachablePause)
	c.Assert(reporter.HostReport(later).DeadEndpoints, qt.HasLen, 0)
	c.Assert(s.Decide(start.Add(reportedDeadPause)), qt.HasLen, 1)

	// A host that has just received an event from the endpoint ignores the report.
	receiver := newScheduler(4, "a")
	offer(receiver, start, work(1))
	receiver.ObserveFirstEvent(start, 1)
	receiver.SetHostReport(start, "reporter", reporter.HostReport(start))
	c.Assert(offer(receiver, start, work(2)), qt.IsNotNil)

	// An unreachable endpoint is not reported, as only this host may be cut off from it.
	reporter = newScheduler(4, "a")
	offer(reporter, start, work(1))
	reporter.Ended(start, 1, ResultUnreachable)
	c.Assert(reporter.HostReport(start).DeadEndpoints, qt.HasLen, 0)
}
