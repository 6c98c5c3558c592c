package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers of a kind that hardly starts, as more urgent ones take all slots, who are told to come back at once.
func TestAKindThatStartsSeldomIsToldToComeBackLater(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(1, "a")
	urgent := func(id ID) Work {
		w := work(id)
		w.Route = "digest"
		return w
	}
	now := start
	for id := range ID(20) {
		w := urgent(id)
		w.Arrived = now
		c.Assert(offer(s, now, w), qt.Satisfies, isPlaced)
		s.Ended(now, id, ResultCompleted)
		now = now.Add(50 * time.Millisecond)
	}
	busy := urgent(30)
	busy.Arrived = now
	offer(s, now, busy)

	refused := map[ID]Refused{}
	waiting := urgent(31)
	waiting.Arrived = now
	low := answering(32, 300)
	low.Arrived, low.Deadline = now, now.Add(10*time.Second)
	c.Assert(offer(s, now, waiting), qt.IsNil)
	c.Assert(offer(s, now, low), qt.IsNil)
	for _, d := range s.Decide(now.Add(1500 * time.Millisecond)) {
		refused[d.(Refused).ID] = d.(Refused)
	}
	c.Check(refused[31].RetryAfter < 2*minRetryAfter, qt.IsTrue, qt.Commentf("%v", refused[31].RetryAfter))
	c.Check(refused[32].RetryAfter > 2*refused[31].RetryAfter, qt.IsTrue, qt.Commentf("%v, %v", refused[31].RetryAfter, refused[32].RetryAfter))
	// The request can still be served after the delay, also if callers come back late.
	c.Check(refused[32].RetryAfter < 5*time.Second, qt.IsTrue)
}
