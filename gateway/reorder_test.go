package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/promoter"
)

// rolloutHost is a host that isn't started, with the store of a site, for roll-outs at any time.
type rolloutHost struct {
	*site
	*Gateway
	writer statusWriter
}

func newRolloutHost(t *testing.T) *rolloutHost {
	h := &rolloutHost{site: newSite(t)}
	h.Gateway = New(platform.Settings{Host: "host-1", StoreAddress: h.site.store.Address()}, &log.Logger{Level: log.PanicLevel})
	t.Cleanup(func() { h.Check(h.Close(), qt.IsNil) })
	return h
}

// orderAt lets the host receive an order for v2 at the time.
func (h *rolloutHost) orderAt(at time.Time, next int64) {
	order := dotterelpulley.RolloutOrder{Service: "plain", Target: "v2", Duration: time.Minute}
	h.promotions.promoter.ReceiveOrder(at, promoter.Order{RolloutOrder: order, Number: promoter.Number{Era: 1, Next: next}}, 0)
}

// takeBack takes the order back and writes that.
func (h *rolloutHost) takeBack() {
	h.promotions.promoter.TakeBack(time.Now(), "plain", "bad")
	h.Assert(h.writeStatuses(&h.writer, 0, h.promotions.promoter.Unfinished()), qt.IsNil)
}

func (h *rolloutHost) stage() promoter.Stage {
	c, _ := h.promotions.promoter.Rollout("plain")
	return c.Stage
}

// A version that was ordered again while the store took no writes was rolled back, on the outcome of the first order.
func TestAnOutcomeThatThisHostWroteIsNotThatOfTheNextOrder(t *testing.T) {
	h := newRolloutHost(t)
	h.orderAt(time.Now().Add(-time.Minute), 7)
	h.takeBack()
	h.Assert(h.stage(), qt.Equals, promoter.RolledBack)
	h.orderAt(time.Now().Add(-10*time.Second), 9)
	h.Assert(h.syncStatuses(context.Background(), &statusWriter{}), qt.IsNil)
	h.Assert(h.stage(), qt.Equals, promoter.Canary)
}

// The outcome of an order was never written where the last status that the host had written was the same outcome of an earlier one.
func TestTheSameOutcomeIsWrittenForEachOrder(t *testing.T) {
	h := newRolloutHost(t)
	for i := range 2 {
		h.orderAt(time.Now().Add(-time.Second), int64(7+2*i))
		h.takeBack()
		h.Assert(h.stage(), qt.Equals, promoter.RolledBack)
		h.Assert(h.site.store.Records(platform.StatusTopic), qt.HasLen, i+1)
	}
}

// A host that had been suspended for the length of an order would have completed it on what it knew of the order before.
func TestNoOrderIsCompletedOnTheProofOfAnotherOne(t *testing.T) {
	h := newRolloutHost(t)
	now := time.Now()
	h.orderAt(now.Add(-30*time.Second), 7)
	proof := datedProof{Proof: promoter.Proof{Assessment: assessor.Assessment{EnoughEvidence: true}, Hosts: 1, Reports: 1}, at: now, order: promoter.Number{Era: 1, Next: 7}}
	h.promotions.proofs = map[dotterelpulley.ServiceID]datedProof{"plain": proof}
	completes := func(next int64) bool {
		order := promoter.Order{
			RolloutOrder: dotterelpulley.RolloutOrder{Service: "plain", Target: "v2", Duration: time.Minute}, Number: promoter.Number{Era: 1, Next: next},
		}
		h.promotions.promoter.Learn(now, promoter.Fact{Order: order, Stage: promoter.Full, Remaining: 400 * time.Millisecond})
		status, ok := h.wantedStatus(&h.writer, 0, order)
		h.Assert(ok, qt.IsTrue)
		return status.State == dotterelpulley.RolloutCompleted
	}
	h.Assert(completes(7), qt.IsTrue)
	h.Assert(completes(9), qt.IsFalse)
}
