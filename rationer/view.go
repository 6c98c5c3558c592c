package rationer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// View is what an organisation may use and has used, as this host knows it.
type View struct {
	Organisation dotterelpulley.OrganisationID
	// Level may be used at once; Used of Allowed has been used in the window.
	Level   Amount
	Used    Amount
	Allowed Amount
}

// CapStatuses returns all caps by organisation.
func (r *Rationer) CapStatuses(now time.Time) []View {
	views := make([]View, 0, len(r.buckets))
	for id, b := range r.buckets {
		b.refill(now)
		level, used := b.estimate(now)
		views = append(views, View{Organisation: id, Level: level, Used: used, Allowed: b.allowed(b.Cap, b.age(now))})
	}
	slices.SortFunc(views, func(a, b View) int {
		if a.Organisation < b.Organisation {
			return -1
		}
		return 1
	})
	return views
}
