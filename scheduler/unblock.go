package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Unblock makes the service's endpoints usable again that couldn't be reached, as the host's own links were lost.
func (s *Scheduler) Unblock(id dotterelpulley.ServiceID) {
	for _, e := range s.service(id).sorted {
		e.blockedUntil, e.deadUntil, e.unreachableCount = time.Time{}, time.Time{}, 0
	}
}
