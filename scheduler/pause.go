package scheduler

import (
	"maps"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// pauses holds the times until which endpoints want no requests from this host, also while they aren't registered; the zero
// value is empty.
type pauses map[dotterelpulley.EndpointID]pause

type pause struct {
	Endpoint
	until time.Time
}

// until returns until when the endpoint wants no requests; zero if it doesn't say.
func (p pauses) until(e Endpoint) time.Time {
	if paused, ok := p[e.ID]; ok && paused.isSameInstance(e) {
		return paused.until
	}
	return time.Time{}
}

// Pause keeps requests of this host away from the endpoint of a run, as the endpoint asked. An earlier pause that lasts
// longer stays.
func (s *Scheduler) Pause(now time.Time, id ID, until time.Time) {
	r, ok := s.runs[id]
	if !ok || !until.After(r.endpoint.pausedUntil) {
		return
	}
	r.endpoint.pausedUntil = until
	if s.pauses == nil {
		s.pauses = pauses{}
	}
	maps.DeleteFunc(s.pauses, func(_ dotterelpulley.EndpointID, p pause) bool { return now.After(p.until) })
	s.pauses[r.endpoint.ID] = pause{Endpoint: r.endpoint.Endpoint, until: until}
}
