package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const queueService = dotterelpulley.ServiceID("kaasik-lm")

// testQueue returns a queue in front of one engine with two slots.
func testQueue(waiting int) *queue {
	settings := DefaultSettings()
	settings.Host = "entry-1"
	settings.Limits.Waiting = waiting
	q := &queue{endpoints: &endpoints{}, logState: &logState{}, settings: settings, counters: &counter.Set{}}
	q.endpoints.setList(lister.List{Revision: 1, Hosts: []lister.Host{
		{ID: "engine-1", Kind: lister.KindEngine, Service: queueService, Address: "127.0.0.1:1"},
	}})
	q.refresh(time.Now())
	load := loadReport{slots: 2, versions: []string{"m@v1"}, measured: time.Now()}
	q.endpoints.setReport("engine-1", load)
	q.applyReport(time.Now(), endpointInfo{Endpoint: dotterelpulley.Endpoint{ID: "engine-1", Service: queueService}}, load)
	return q
}

func queueRequest(tier dotterelpulley.Tier) dotterelpulley.Request {
	return dotterelpulley.Request{
		Key:      dotterelpulley.Key{Organisation: "dealer-a"},
		Tier:     tier,
		Service:  queueService,
		Prompt:   "lime for parcel 12",
		Deadline: time.Now().Add(10 * time.Second),
	}
}

type acquired struct {
	grant   grant
	refusal *dotterelpulley.Refusal
}

func (q *queue) acquireAsync(ctx context.Context, req dotterelpulley.Request) chan acquired {
	result := make(chan acquired, 1)
	go func() {
		g, refusal := q.acquire(ctx, req, nil)
		result <- acquired{g, refusal}
	}()
	return result
}

func TestQueueGrantsUrgentRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := testQueue(10)
		var running []grant
		for range 2 {
			g, refusal := q.acquire(t.Context(), queueRequest(dotterelpulley.TierUrgent), nil)
			c.Assert(refusal == nil, qt.IsTrue)
			c.Check(g.version, qt.Equals, dotterelpulley.VersionID("m@v1"))
			running = append(running, g)
		}
		background := q.acquireAsync(t.Context(), queueRequest(dotterelpulley.TierBackground))
		synctest.Wait()
		urgent := q.acquireAsync(t.Context(), queueRequest(dotterelpulley.TierUrgent))
		synctest.Wait()
		running[0].release(attemptCompleted{})
		running[0].release(attemptCompleted{})
		synctest.Wait()
		c.Assert(urgent, qt.HasLen, 1)
		c.Assert(background, qt.HasLen, 0)
		running[1].release(attemptCompleted{})
		(<-urgent).grant.release(attemptCompleted{})
		c.Check((<-background).refusal == nil, qt.IsTrue)
	})
}

func TestQueueShedsLowestTierImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := testQueue(1)
		for range 2 {
			_, refusal := q.acquire(t.Context(), queueRequest(dotterelpulley.TierUrgent), nil)
			c.Assert(refusal == nil, qt.IsTrue)
		}
		background := q.acquireAsync(t.Context(), queueRequest(dotterelpulley.TierBackground))
		synctest.Wait()
		urgent := q.acquireAsync(t.Context(), queueRequest(dotterelpulley.TierUrgent))
		synctest.Wait()
		c.Assert(background, qt.HasLen, 1)
		refusal := (<-background).refusal
		c.Check(refusal.Kind, qt.Equals, dotterelpulley.ErrorShed)
		c.Check(refusal.RetryAfter >= time.Second, qt.IsTrue)
		c.Check(urgent, qt.HasLen, 0)
		c.Check(q.counters.Get("shed-background-shed"), qt.Equals, int64(1))
	})
}

func TestQueueRemovesRequestsPastTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := testQueue(10)
		for range 2 {
			_, refusal := q.acquire(t.Context(), queueRequest(dotterelpulley.TierUrgent), nil)
			c.Assert(refusal == nil, qt.IsTrue)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, refusal := q.acquire(ctx, queueRequest(dotterelpulley.TierUrgent), nil)
		c.Assert(refusal != nil, qt.IsTrue)
		c.Check(refusal.Kind, qt.Equals, dotterelpulley.ErrorDeadlinePassed)
		c.Check(q.admitter.Waiting(queueService), qt.Equals, 0)
		c.Check(q.waiters, qt.HasLen, 0)
	})
}

func TestQueueBoundsRetries(t *testing.T) {
	c := qt.New(t)
	q := testQueue(100)
	avoid := map[dotterelpulley.EndpointID]bool{"engine-0": true}
	refused := 0
	for range 30 {
		g, refusal := q.acquire(t.Context(), queueRequest(dotterelpulley.TierUrgent), avoid)
		if refusal != nil {
			c.Check(refusal.Kind, qt.Equals, dotterelpulley.ErrorNoEndpoint)
			refused++
			continue
		}
		g.release(attemptCompleted{})
	}
	c.Check(refused > 15, qt.IsTrue, qt.Commentf("%d of 30 retries refused", refused))
	c.Check(q.counters.Get("retry-budget-spent"), qt.Equals, int64(refused))
}

func TestQueueForgetsRemovedEndpoints(t *testing.T) {
	c := qt.New(t)
	q := testQueue(10)
	q.applyCacheEvents(time.Now(), "engine-1", wireCacheEvents{Next: 7})
	q.limiter.SetSlots("engine-1", 3)
	q.endpoints.setList(lister.List{Revision: 2})
	q.refresh(time.Now())
	c.Check(q.cacheOffsets, qt.HasLen, 0)
	c.Check(q.endpointsInUse(), qt.HasLen, 0)
	c.Check(q.limiter.Limit("engine-1"), qt.Equals, (&limiter.Limiter{}).Limit("engine-1"))
}

func TestHostsPollOnlyTheirSubset(t *testing.T) {
	c := qt.New(t)
	q := testQueue(10)
	var hosts []lister.Host
	for i := range 350 {
		hosts = append(hosts, lister.Host{ID: dotterelpulley.HostID(fmt.Sprintf("entry-%d", i)), Kind: lister.KindEntry})
	}
	for i := range 2200 {
		hosts = append(hosts, lister.Host{ID: dotterelpulley.HostID(fmt.Sprintf("engine-%d", i)), Kind: lister.KindEngine, Service: queueService})
	}
	q.endpoints.setList(lister.List{Revision: 2, Hosts: hosts})
	q.refresh(time.Now())
	c.Check(q.endpointsInUse(), qt.HasLen, picker.DefaultSubset)
	c.Check(q.sharers[queueService], qt.Equals, 11)
}
