package promoter_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/promoter"
)

func newOrder(next int64) promoter.Order {
	return promoter.Order{
		RolloutOrder: dotterelpulley.RolloutOrder{Service: service, Target: target, Duration: orderDuration},
		Number:       promoter.Number{Era: 1, Next: next},
	}
}

func status(state dotterelpulley.RolloutState) dotterelpulley.RolloutStatus {
	return dotterelpulley.RolloutStatus{Service: service, Target: target, State: state}
}

func stageOf(p *promoter.Promoter) promoter.Stage {
	c, _ := p.Rollout(service)
	return c.Stage
}

// Guards against a version that can't be ordered again after it was rolled back.
func TestTheOutcomeOfAnEarlierOrderIsNotThatOfANewOne(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.TakeBack(epoch, service, "bad")
	p.Stored(epoch.Add(5*time.Second), status(dotterelpulley.RolloutRolledBack), promoter.Number{})
	c.Assert(stageOf(&p), qt.Equals, promoter.RolledBack)
	again := epoch.Add(time.Minute)
	c.Assert(p.ReceiveOrder(again, newOrder(9), 0), qt.IsTrue)
	p.Stored(again.Add(50*time.Millisecond), status(dotterelpulley.RolloutRolledBack), promoter.Number{})
	c.Assert(stageOf(&p), qt.Equals, promoter.Canary)
	p.Stored(again.Add(60*time.Millisecond), status(dotterelpulley.RolloutInProgress), promoter.Number{})
	p.Stored(again.Add(time.Second), status(dotterelpulley.RolloutRolledBack), promoter.Number{})
	c.Assert(stageOf(&p), qt.Equals, promoter.RolledBack)
}

// Guards against a store that returns from a copy, with other offsets, starting a roll-out anew.
func TestAnOrderFromACopyOfTheStoreIsTheSameOrder(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.TakeBack(epoch, service, "bad")
	copied := newOrder(3)
	copied.Number.Era = 2
	c.Assert(p.ReceiveOrder(epoch.Add(time.Second), copied, 0), qt.IsFalse)
	c.Assert(stageOf(&p), qt.Equals, promoter.TakenBack)
}

// Guards against a verdict that another host's older knowledge undoes.
func TestAVerdictHoldsWhateverOtherHostsTell(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.TakeBack(epoch, service, "bad")
	for _, s := range []promoter.Stage{promoter.Held, promoter.Canary, promoter.Full, promoter.Completed + 1} {
		_, advanced := p.Learn(epoch, promoter.Fact{Order: newOrder(7), Stage: s, Remaining: time.Hour})
		c.Check(advanced, qt.IsFalse)
	}
	c.Check(stageOf(&p), qt.Equals, promoter.TakenBack)
	c.Check(p.ForTarget(epoch, service, "a"), qt.IsFalse)
}

// Guards against a deadline that is brought forward because some hosts didn't have the operators' records lately.
func TestHostsThatWereBehindDoNotShortenARollout(t *testing.T) {
	c := qt.New(t)
	var first, behind promoter.Promoter
	first.ReceiveOrder(epoch, newOrder(7), 0)
	behind.ReceiveOrder(epoch.Add(10*time.Millisecond), newOrder(7), 2*time.Second)
	for _, f := range behind.Facts(epoch.Add(20 * time.Millisecond)) {
		first.Learn(epoch.Add(30*time.Millisecond), f)
	}
	c.Assert(first.Expire(epoch.Add(orderDuration-time.Millisecond)), qt.HasLen, 0)
	c.Assert(first.Expire(epoch.Add(orderDuration)), qt.HasLen, 1)
}

// Guards against endpoints that are added after a completion, under another version, getting no requests for good.
func TestVersionsNoLongerMatterSomeTimeAfterACompletion(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.Stored(epoch.Add(orderDuration), status(dotterelpulley.RolloutCompleted), promoter.Number{})
	c.Assert(p.Settled(epoch.Add(orderDuration+time.Second), service), qt.IsFalse)
	c.Assert(p.Settled(epoch.Add(orderDuration+time.Minute), service), qt.IsTrue)
}

// A completed version was rolled back by hosts that all started while the store, back from a copy, held the order as in progress:
// its endpoints were the only ones left.
func TestAnOrderOfUnknownAgeIsNotTakenBackWhileNoOtherVersionRuns(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), math.MaxInt64)
	p.Stored(epoch, status(dotterelpulley.RolloutInProgress), promoter.Number{})
	for after := time.Duration(0); after < 3*orderDuration; after += 100 * time.Millisecond {
		now := epoch.Add(after)
		_, advanced := p.Decide(now, service, promoter.Proof{Hosts: 8, Reports: 1})
		c.Assert(advanced, qt.IsFalse)
		c.Assert(p.Expire(now), qt.HasLen, 0)
		_, wanted := p.Wanted(now, service, promoter.Proof{})
		c.Assert(wanted, qt.IsFalse)
	}
	// The next order doesn't bar the version on which all requests run.
	next := newOrder(9)
	next.Target = "next"
	c.Assert(p.ReceiveOrder(epoch.Add(3*orderDuration), next, 0), qt.IsTrue)
	change, _ := p.Rollout(service)
	c.Assert(change.Barred, qt.Equals, dotterelpulley.VersionID(""))
}

// Where another version runs, no outcome has been acted on that taking the order back would reverse.
func TestAnOrderOfUnknownAgeIsTakenBackOnceAnotherVersionRuns(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), math.MaxInt64)
	_, advanced := p.Decide(epoch.Add(time.Second), service, promoter.Proof{OthersRun: true})
	c.Assert(advanced, qt.IsFalse, qt.Commentf("another host may tell the time that is left"))
	_, advanced = p.Decide(epoch.Add(2*time.Second), service, promoter.Proof{OthersRun: true})
	c.Assert(advanced, qt.IsTrue)
	wanted, _ := p.Wanted(epoch.Add(2*time.Second), service, promoter.Proof{})
	c.Assert(wanted.State, qt.Equals, dotterelpulley.RolloutRolledBack)
}
