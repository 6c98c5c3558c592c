package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// queue passes the scheduler's decisions to the requests that wait for them.
type queue struct {
	mutex     sync.Mutex
	scheduler scheduler.Scheduler
	waiters   map[scheduler.ID]chan scheduler.Decision
	timer     *time.Timer
	// changed has an element if the scheduler's loads may have changed since the last change that was told to other hosts.
	changed chan struct{}
}

// acquire waits until the work is placed or refused; the error is the context's.
func (q *queue) acquire(ctx context.Context, w scheduler.Work) (scheduler.Decision, error) {
	decided := make(chan scheduler.Decision, 1)
	q.mutex.Lock()
	q.waiters[w.ID] = decided
	q.scheduler.Offer(w)
	q.decide(time.Now())
	q.mutex.Unlock()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case d := <-decided:
		if _, placed := d.(scheduler.Placed); placed {
			q.scheduler.Ended(time.Now(), w.ID, scheduler.ResultCancelled)
			q.decide(time.Now())
		}
	default:
		delete(q.waiters, w.ID)
		q.scheduler.Withdraw(w.ID, w.Service)
	}
	return nil, ctx.Err()
}

// tryAcquire places the work at once or not at all.
func (q *queue) tryAcquire(w scheduler.Work) (scheduler.Placed, bool) {
	decided := make(chan scheduler.Decision, 1)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiters[w.ID] = decided
	q.scheduler.Offer(w)
	q.decide(time.Now())
	select {
	case d := <-decided:
		placed, ok := d.(scheduler.Placed)
		return placed, ok
	default:
	}
	delete(q.waiters, w.ID)
	q.scheduler.Withdraw(w.ID, w.Service)
	return scheduler.Placed{}, false
}

// decide passes new decisions to their waiters and sets the timer; call it with the mutex held after every event that may free capacity.
func (q *queue) decide(now time.Time) {
	for _, d := range q.scheduler.Decide(now) {
		var id scheduler.ID
		switch d := d.(type) {
		case scheduler.Placed:
			id = d.ID
		case scheduler.Refused:
			id = d.ID
		}
		q.waiters[id] <- d
		delete(q.waiters, id)
	}
	q.signalChange()
	next, ok := q.scheduler.NextExpiry()
	if !ok {
		return
	}
	// Temporarily blocked endpoints become usable again without an event.
	delay := min(max(next.Sub(now), time.Millisecond), maxDecisionInterval)
	if q.timer == nil {
		q.timer = time.AfterFunc(delay, q.tick)
		return
	}
	q.timer.Reset(delay)
}

func (q *queue) signalChange() {
	if !q.scheduler.HasChanged() {
		return
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// maxDecisionInterval is the longest time between two decisions while work waits.
const maxDecisionInterval = 50 * time.Millisecond

func (q *queue) tick() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.decide(time.Now())
}

// updateAndDecide changes the scheduler and makes it decide again.
func (q *queue) updateAndDecide(change func(now time.Time, s *scheduler.Scheduler)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	change(now, &q.scheduler)
	q.decide(now)
}

// access calls the function on the scheduler without a new decision, for changes that free no capacity.
func (q *queue) access(change func(now time.Time, s *scheduler.Scheduler)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	change(time.Now(), &q.scheduler)
}
