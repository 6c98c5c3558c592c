package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// PlaceAgain places work on an endpoint that it ran on before, and reports whether that may get it. Neither the endpoint's silence nor
// its load matters, as no other one may run the work; what the endpoint has asked for does.
func (s *Scheduler) PlaceAgain(now time.Time, w Work, id dotterelpulley.EndpointID) (Placed, bool) {
	v := s.service(w.Service)
	e, ok := v.endpoints[id]
	if !ok || e.State != dotterelpulley.EndpointLive || now.Before(e.blockedUntil) || now.Before(e.pausedUntil) ||
		!e.allowance.admits(now, e.running) || !v.split.permits(e, w) {
		return Placed{}, false
	}
	if s.uses(PrefixHomes) {
		w.homes = v.homesOf(w.Prefix.Key)
	} else {
		w.Prefix = Prefix{}
	}
	w.kind = v.kinds.of(w.Route)
	s.start(now, v, w, e)
	return Placed{ID: w.ID, Endpoint: e.Endpoint, Load: e.load(), LoadAge: s.loadAge(now)}, true
}
