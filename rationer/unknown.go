package rationer

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// maxUnknownAccounts limits the accounts of organisations that only other hosts know: a faulty host may name anything.
const maxUnknownAccounts = 1024

// withRoom returns the usage of the organisations for which there is an account or room for one.
func withRoom[T any](r *Rationer, now time.Time, usage map[dotterelpulley.OrganisationID]T) map[dotterelpulley.OrganisationID]T {
	var added []dotterelpulley.OrganisationID
	for id := range usage {
		if _, ok := r.accounts[id]; !ok {
			added = append(added, id)
		}
	}
	if len(added) == 0 || len(added) <= maxUnknownAccounts-r.unknownAccounts() {
		return usage
	}
	r.forgetUnknown(now)
	room := max(maxUnknownAccounts-r.unknownAccounts(), 0)
	if len(added) <= room {
		return usage
	}
	slices.Sort(added)
	kept := maps.Clone(usage)
	for _, id := range added[room:] {
		delete(kept, id)
	}
	return kept
}

func (r *Rationer) unknownAccounts() int {
	n := 0
	for _, a := range r.accounts {
		if a.unknown() {
			n++
		}
	}
	return n
}

// forgetUnknown removes the accounts of organisations that only other hosts know and that have used nothing in the window.
func (r *Rationer) forgetUnknown(now time.Time) {
	maps.DeleteFunc(r.accounts, func(_ dotterelpulley.OrganisationID, a *account) bool {
		return a.unknown() && a.used(now) == 0
	})
}

// unknown reports whether this host has no cap for the organisation and has admitted nothing of it.
func (a *account) unknown() bool {
	return !a.capped && a.admitted == 0
}
