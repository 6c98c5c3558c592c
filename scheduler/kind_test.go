package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// answering returns work of the lowest of three ranks with an answer of the length.
func answering(id ID, tokens dotterelpulley.Tokens) Work {
	w := work(id)
	w.Rank, w.Route, w.Prompt, w.Answer = 2, "chat", 100, tokens
	return w
}

// Guards against last slots that only the smallest requests of a kind may take.
func TestTheLastSlotsAreTheSameToAllSizesOfAKind(t *testing.T) {
	c := qt.New(t)
	s := newScheduler(8, "a")
	for id := range ID(6) {
		c.Assert(offer(s, start, answering(id, 300)), qt.Satisfies, isPlaced)
	}
	c.Assert(offer(s, start, answering(6, 20)), qt.Satisfies, isPlaced)
	c.Check(offer(s, start, answering(7, 20)), qt.IsNil)
	c.Check(offer(s, start, answering(8, 300)), qt.IsNil)
	s.Ended(start, 0, ResultCompleted)
	// The oldest takes its turn, whatever its size.
	decisions := s.Decide(start)
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].(Placed).ID, qt.Equals, ID(7))
}

// Guards against free slots that are left to work on other hosts by the large requests of a kind alone.
func TestAllSizesOfAKindYieldAlikeToOtherHosts(t *testing.T) {
	c := qt.New(t)
	for _, tokens := range []dotterelpulley.Tokens{10, 1000} {
		s := newScheduler(8, "a")
		for id := range ID(5) {
			offer(s, start, answering(id, 300))
		}
		s.SetHostReport(start, "other", HostReport{Waiting: []WaitingCount{{Service: ServiceKey(testService), Count: 3, Oldest: time.Millisecond}}})
		c.Check(offer(s, start, answering(10, tokens)), qt.IsNil, qt.Commentf("%d tokens", tokens))
	}
}

func isPlaced(d Decision) bool {
	_, ok := d.(Placed)
	return ok
}

func TestTheSizeThatIsRefusedMoreOftenComesEarlier(t *testing.T) {
	c := qt.New(t)
	decideAll := func(k *kind, isRefused func(rank float64) bool) {
		for i := range 400 {
			w := Work{sizeRank: float64(i%10) / 9}
			k.decided(w, isRefused(w.sizeRank))
		}
	}
	var k kind
	decideAll(&k, func(float64) bool { return false })
	c.Check(k.advance, qt.Equals, 0.0)
	decideAll(&k, func(rank float64) bool { return rank > 0.5 })
	c.Check(k.advance > 0.5*maxAdvance, qt.IsTrue, qt.Commentf("advance %.2f", k.advance))

	large := Work{Arrived: start, Objective: time.Second, sizeRank: 1}
	small := Work{Arrived: start, Objective: time.Second}
	c.Check(k.turn(large).Before(k.turn(small)), qt.IsTrue)

	decideAll(&k, func(rank float64) bool { return rank < 0.5 })
	c.Check(k.turn(small).Before(k.turn(large)), qt.IsTrue)
}

func TestSizeRanksFollowRecentWork(t *testing.T) {
	c := qt.New(t)
	var k kind
	for i := range 2 * kindSamples {
		k.offered(Work{Prompt: dotterelpulley.Tokens(1 + i%10)})
	}
	c.Check(k.offered(Work{Prompt: 100}), qt.Equals, 1.0)
	c.Check(k.offered(Work{}), qt.Equals, 0.0)
	c.Check(k.offered(Work{Answer: 1000}), qt.Equals, 1.0)
}
