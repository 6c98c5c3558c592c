package rationer

import (
	"maps"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Report is what a host tells its peers of the usage on it.
type Report struct {
	// Usage is what each organisation has used on the host since its start.
	Usage map[dotterelpulley.OrganisationID]Amount
	// Counted is the time since the host's start; zero if the host doesn't tell, as earlier builds.
	Counted time.Duration
}

// Report returns this host's complete report.
func (r *Rationer) Report(now time.Time) Report {
	r.init(now)
	return Report{Usage: r.LocalUsage(), Counted: now.Sub(r.startedAt)}
}

// merge returns the usage with the changes.
func merge(usage, changes map[dotterelpulley.OrganisationID]Amount) map[dotterelpulley.OrganisationID]Amount {
	merged := maps.Clone(usage)
	if merged == nil {
		merged = map[dotterelpulley.OrganisationID]Amount{}
	}
	maps.Copy(merged, changes)
	return merged
}
