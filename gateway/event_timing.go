package gateway

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// eventTiming is when the events of one run arrived.
type eventTiming struct {
	events       int
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
}

// observe records that an event has arrived and tells the scheduler.
func (t *eventTiming) observe(p *proxiedRequest, a attempt, now time.Time) {
	if t.events == 0 {
		t.firstAt = now
		p.gateway.queue.access(func(now time.Time, s *scheduler.Scheduler) { s.ObserveFirstEvent(now, a.ID) })
		p.gateway.metrics.recordLatency("first-event-"+string(p.route.ID), now.Sub(p.arrived))
	} else {
		gap := now.Sub(t.lastAt)
		t.longestPause = max(t.longestPause, gap)
		p.gateway.queue.access(func(now time.Time, s *scheduler.Scheduler) { s.ObserveInterval(now, a.ID, gap) })
	}
	t.lastAt = now
	t.events++
}
