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
	// Recent is what each organisation has used within the window, on a host that has counted for longer than that.
	Recent map[dotterelpulley.OrganisationID]Amount
}

// Report returns this host's complete report.
func (r *Rationer) Report(now time.Time) Report {
	r.init(now)
	report := Report{Usage: r.LocalUsage(), Counted: now.Sub(r.startedAt)}
	if report.Counted <= r.window() {
		return report
	}
	report.Recent = map[dotterelpulley.OrganisationID]Amount{}
	for id := range report.Usage {
		a := r.accounts[id]
		a.own.advance(now)
		if a.own.sum > 0 {
			report.Recent[id] = a.own.sum
		}
	}
	return report
}

// usedSince returns what the organisation has used on the host in the last part of the time that it has counted.
func (p Report) usedSince(id dotterelpulley.OrganisationID, part, window time.Duration) Amount {
	if part >= p.Counted {
		return p.Usage[id]
	}
	if p.Counted <= window {
		return p.Usage[id] * Amount(part.Seconds()/p.Counted.Seconds())
	}
	return p.Recent[id] * Amount(min(1, part.Seconds()/window.Seconds()))
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
