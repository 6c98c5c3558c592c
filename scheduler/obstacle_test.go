package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestARefusalSaysWhatKeptTheWorkFromEndpoints(t *testing.T) {
	c := qt.New(t)
	refusalOf := func(s *Scheduler, w Work) Refused {
		c.Assert(offer(s, start, w), qt.IsNil)
		at, _ := s.NextExpiry()
		return s.Decide(at)[0].(Refused)
	}

	s := newScheduler(1, "a")
	offer(s, start, work(1))
	c.Check(refusalOf(s, work(2)).Obstacles.Main(), qt.Equals, ObstacleFull)

	s = newScheduler(10, "a")
	for id := range ID(9) {
		offer(s, start, work(id))
	}
	low := work(20)
	low.Rank = 1
	refused := refusalOf(s, low)
	c.Check(refused.Obstacles.Main(), qt.Equals, ObstacleReserve)
	// It was on time in the first decision and late in the second.
	c.Check(refused.Obstacles.String(), qt.Equals, "reserve 1, late-reserve 1")

	s = newScheduler(10, "a")
	for id := range ID(8) {
		offer(s, start, work(id))
	}
	long := work(21)
	long.Prompt = 1_000_000
	s.Offer(long)
	s.Decide(start)
	s.Decide(start.Add(time.Millisecond))
	at, _ := s.NextExpiry()
	c.Check(s.Decide(at)[0].(Refused).Obstacles.Main(), qt.Equals, ObstacleFirstEvent)

	s = newScheduler(10, "a")
	offer(s, start, work(1))
	s.SetHostReport(start, "other", HostReport{Waiting: []WaitingCount{{Service: ServiceKey(testService), Count: 20, Oldest: time.Millisecond}}})
	low.Objective = time.Second
	c.Check(refusalOf(s, low).Obstacles.Main(), qt.Equals, ObstacleOrder)
}
