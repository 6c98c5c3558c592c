package rationer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// CapStatus is what an organisation may use and has used, as this host knows it.
type CapStatus struct {
	Organisation dotterelpulley.OrganisationID
	// Level may be used at once; Used of Allowed has been used in the window.
	Level   Amount
	Used    Amount
	Allowed Amount
}

// CapStatuses returns all caps by organisation.
func (r *Rationer) CapStatuses(now time.Time) []CapStatus {
	views := make([]CapStatus, 0, len(r.buckets))
	for id, b := range r.buckets {
		b.refill(now)
		level, used := b.estimate(now)
		views = append(views, CapStatus{Organisation: id, Level: level, Used: used, Allowed: b.allowed(b.Cap, b.age(now))})
	}
	slices.SortFunc(views, func(a, b CapStatus) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return views
}
