package promoter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/promoter"
)

// observeFailures counts failures of the target, enough for a verdict.
func observeFailures(p *promoter.Promoter, now time.Time) {
	for range 60 {
		p.Observe(now, promoter.Sample{Service: service, Version: target, Sample: assessor.Sample{
			Cell: assessor.Cell{Route: "a"}, Endpoint: "i-1", Failed: true,
		}})
	}
}

func proveAlone(p *promoter.Promoter, now time.Time) promoter.Proof {
	return p.Prove(now, service, [][]*assessor.Evidence{p.Evidence(now)})
}

// A version that was rolled back and ordered again was rolled back at once, on the evidence of the first time.
func TestAnOrderIsJudgedWithoutTheEvidenceOnAnEarlierOneForItsVersion(t *testing.T) {
	for name, end := range map[string]func(*promoter.Promoter, time.Time){
		"rolled back": func(p *promoter.Promoter, now time.Time) {
			p.TakeBack(now, service, "bad")
			p.Stored(now, status(dotterelpulley.RolloutRolledBack), promoter.Number{})
		},
		"taken back":        func(p *promoter.Promoter, now time.Time) { p.TakeBack(now, service, "bad") },
		"still in progress": func(*promoter.Promoter, time.Time) {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p promoter.Promoter
			p.ReceiveOrder(epoch, newOrder(7), 0)
			observeFailures(&p, epoch.Add(time.Second))
			c.Assert(proveAlone(&p, epoch.Add(time.Second)).Bad, qt.IsTrue)
			again := epoch.Add(2 * time.Second)
			end(&p, again)
			c.Assert(p.ReceiveOrder(again, newOrder(9), 0), qt.IsTrue)
			proof := proveAlone(&p, again.Add(100*time.Millisecond))
			c.Assert(proof.Bad, qt.IsFalse)
			c.Assert(proof.Requests, qt.Equals, 0)
			observeFailures(&p, again.Add(time.Second))
			c.Assert(proveAlone(&p, again.Add(time.Second)).Bad, qt.IsTrue)
		})
	}
}

// Streams that an earlier order had sent to the version's endpoints, which stop some seconds after a roll-back, counted as failures
// under the next order.
func TestRunsOfAnEarlierOrderAreNoEvidenceOnTheNextOne(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.TakeBack(epoch.Add(time.Second), service, "bad")
	p.Stored(epoch.Add(time.Second), status(dotterelpulley.RolloutRolledBack), promoter.Number{})
	again := epoch.Add(5 * time.Second)
	p.ReceiveOrder(again, newOrder(9), 0)
	later := again.Add(3 * time.Second)
	observe := func(placedAt time.Time) {
		for range 60 {
			p.Observe(later, promoter.Sample{Service: service, Version: target, PlacedAt: placedAt, Sample: assessor.Sample{
				Cell: assessor.Cell{Route: "a"}, Endpoint: "i-1", Failed: true,
			}})
		}
	}
	observe(epoch.Add(500 * time.Millisecond))
	proof := proveAlone(&p, later)
	c.Assert(proof.Bad, qt.IsFalse)
	c.Assert(proof.Requests, qt.Equals, 0)
	observe(again.Add(time.Second))
	c.Assert(proveAlone(&p, later).Bad, qt.IsTrue)
}

// A good version that was ordered again while the store took no writes was rolled back once it could be read, as the store still
// held the outcome of the first order.
func TestTheOutcomeOfAnEarlierOrderStaysThatHoweverLateItIsReadAgain(t *testing.T) {
	c := qt.New(t)
	var p promoter.Promoter
	p.ReceiveOrder(epoch, newOrder(7), 0)
	p.TakeBack(epoch, service, "bad")
	outcome := promoter.Number{Era: 1, Next: 3}
	p.Stored(epoch.Add(time.Second), status(dotterelpulley.RolloutRolledBack), outcome)
	again := epoch.Add(time.Minute)
	p.ReceiveOrder(again, newOrder(9), 0)
	p.Stored(again.Add(5*time.Second), status(dotterelpulley.RolloutRolledBack), outcome)
	c.Assert(stageOf(&p), qt.Equals, promoter.Canary)
	p.Stored(again.Add(6*time.Second), status(dotterelpulley.RolloutRolledBack), promoter.Number{Era: 1, Next: 4})
	c.Assert(stageOf(&p), qt.Equals, promoter.RolledBack)
}

// An order was judged by evidence on an earlier one for its version that had been gathered before it came, or that another host told
// which hadn't heard of it yet.
func TestEvidenceGatheredUnderAnEarlierOrderIsNotForTheNextOne(t *testing.T) {
	c := qt.New(t)
	var p, behind promoter.Promoter
	for _, h := range []*promoter.Promoter{&p, &behind} {
		h.ReceiveOrder(epoch, newOrder(7), 0)
		observeFailures(h, epoch.Add(time.Second))
	}
	gathered := p.Evidence(epoch.Add(time.Second))
	again := epoch.Add(2 * time.Second)
	p.ReceiveOrder(again, newOrder(9), 0)
	now := again.Add(100 * time.Millisecond)
	for _, report := range [][]*assessor.Evidence{gathered, behind.Evidence(now)} {
		proof := p.Prove(now, service, [][]*assessor.Evidence{sent(c, report), p.Evidence(now)})
		c.Check(proof.Bad, qt.IsFalse)
		c.Check(proof.Requests, qt.Equals, 0)
		c.Check(proof.Reports, qt.Equals, 1)
	}
	// The order is the same one in a copy of the store.
	copied := newOrder(3)
	copied.Number.Era = 2
	behind.ReceiveOrder(now, copied, 0)
	observeFailures(&p, now)
	c.Check(behind.Prove(now, service, [][]*assessor.Evidence{sent(c, p.Evidence(now))}).Reports, qt.Equals, 1)
}

// sent returns the evidence as another host reads it.
func sent(c *qt.C, evidence []*assessor.Evidence) []*assessor.Evidence {
	data, err := assessor.Encode(evidence)
	c.Assert(err, qt.IsNil)
	received, err := assessor.Decode(data)
	c.Assert(err, qt.IsNil)
	return received
}
