package rationer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// CapStatus is this host's view of one organisation's cap and usage.
type CapStatus struct {
	Organisation dotterelpulley.OrganisationID
	// Used and Allowed are the usage in the window and its limit.
	Used    Amount
	Allowed Amount
}

// CapStatuses returns the status of all caps, sorted by organisation.
func (r *Rationer) CapStatuses(now time.Time) []CapStatus {
	statuses := make([]CapStatus, 0, len(r.accounts))
	k := r.knowledge(now)
	for id, a := range r.accounts {
		if a.capped {
			statuses = append(statuses, CapStatus{Organisation: id, Used: a.total(now, k.usage(now, a)), Allowed: a.allowed(k.reach)})
		}
	}
	slices.SortFunc(statuses, func(a, b CapStatus) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return statuses
}
