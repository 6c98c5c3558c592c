package rationer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// CapStatus is this host's view of one organisation's cap and usage.
type CapStatus struct {
	Organisation dotterelpulley.OrganisationID
	// Level is the level of the token bucket; Used and Allowed are the usage in the window and its limit.
	Level   Amount
	Used    Amount
	Allowed Amount
}

// CapStatuses returns the status of all caps, sorted by organisation.
func (r *Rationer) CapStatuses(now time.Time) []CapStatus {
	statuses := make([]CapStatus, 0, len(r.buckets))
	for id, b := range r.buckets {
		b.refill(now)
		level, used := b.estimate(now)
		statuses = append(statuses, CapStatus{Organisation: id, Level: level, Used: used, Allowed: b.allowed(b.Cap, b.elapsed(now))})
	}
	slices.SortFunc(statuses, func(a, b CapStatus) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return statuses
}
