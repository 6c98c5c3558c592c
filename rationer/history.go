package rationer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// History is what a host knows of the usage in the window, for hosts that have just started.
type History struct {
	// Known is the time before now for which the usage of all hosts is known.
	Known time.Duration
	// Slot is the length of the parts into which the time is divided.
	Slot time.Duration
	// Usage is what each organisation has used in each part, the latest first.
	Usage map[dotterelpulley.OrganisationID][]Amount
}

// History returns what this host knows of the usage in the window.
func (r *Rationer) History(now time.Time) History {
	r.init(now)
	h := History{Known: min(r.known(now), r.window()), Slot: r.window() / (slotCount - 1), Usage: map[dotterelpulley.OrganisationID][]Amount{}}
	if h.Known < r.window() && r.missing() > 0 {
		// What hosts that haven't reported yet have used is unknown.
		h.Known = 0
		return h
	}
	for id, a := range r.accounts {
		if a.used(now) == 0 {
			continue
		}
		slots := make([]Amount, min(int(h.Known/h.Slot)+1, slotCount))
		for i := range slots {
			slots[i] = *a.slot(a.newest - i)
		}
		h.Usage[id] = slots
	}
	return h
}

// LacksHistory reports whether the usage in a part of the window is unknown.
func (r *Rationer) LacksHistory(now time.Time) bool {
	r.init(now)
	return r.known(now) < r.window()
}

// AdoptHistory adds what another host knows of the time before this host's own knowledge, and reports whether that is anything.
func (r *Rationer) AdoptHistory(now time.Time, h History) bool {
	r.init(now)
	known := r.known(now)
	slot := r.window() / (slotCount - 1)
	if h.Known < known+slot || h.Slot/time.Microsecond != slot/time.Microsecond {
		return false
	}
	for id, slots := range withRoom(r, now, h.Usage) {
		a := r.account(id)
		a.advance(now)
		// The slot in which this host's knowledge begins holds usage of both.
		own := a.newest - a.slotAt(r.knownSince)
		for i, amount := range slots {
			switch {
			case i >= slotCount:
			case i > own:
				*a.slot(a.newest - i) += amount
				a.sum += amount
			case i == own:
				slot := a.slot(a.newest - i)
				a.sum += max(amount-*slot, 0)
				*slot = max(amount, *slot)
			}
		}
	}
	r.knownSince = now.Add(-h.Known)
	return true
}
