package rationer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// paceWeight is the weight of a host's latest pace of use; what it tells is uneven, as requests are of unlike sizes.
const paceWeight = 0.5

// unheard estimates what other hosts have used since their last word, by the pace at which each did before.
//
// It keeps the sums of the paces and of the paces times the moments of those words, so that the estimate takes
// no longer with more hosts.
type unheard struct {
	paces   Amount
	moments Amount
}

func (u *unheard) add(pace Amount, heard time.Duration) {
	u.paces += pace
	u.moments += pace * Amount(heard.Seconds())
}

// at returns the estimate; elapsed counts from the same origin as the moments.
func (u *unheard) at(elapsed time.Duration) Amount {
	return max(u.paces*Amount(elapsed.Seconds())-u.moments, 0)
}

// pace takes a host's use since its last word and returns its pace.
func (h *host) pace(now time.Time, id dotterelpulley.OrganisationID, used Amount) Amount {
	passed := now.Sub(h.heard).Seconds()
	if passed <= 0 {
		return h.paces[id]
	}
	return h.paces[id] + paceWeight*(used/Amount(passed)-h.paces[id])
}

// expect replaces the pace at which a host is taken to use what it doesn't tell at once; its last word is of heard.
func (r *Rationer) expect(h *host, id dotterelpulley.OrganisationID, pace Amount, heard time.Time) {
	b, ok := r.buckets[id]
	if !ok {
		return
	}
	b.others.add(-h.paces[id], h.heard.Sub(b.began))
	b.others.add(pace, heard.Sub(b.began))
	if h.paces == nil {
		h.paces = map[dotterelpulley.OrganisationID]Amount{}
	}
	h.paces[id] = pace
}

// expectNothing ends the estimates of a host.
func (r *Rationer) expectNothing(h *host) {
	for id := range h.paces {
		r.expect(h, id, 0, h.heard)
	}
	h.paces = nil
}

// chargeUnheard charges a young host's buckets an equal part of the cap for every host that it hasn't heard yet.
//
// After a restart of all hosts each would otherwise use the whole cap until it hears of the others.
func (r *Rationer) chargeUnheard(now time.Time) {
	missing := r.HostCount - 1 - len(r.hosts)
	for _, b := range r.buckets {
		if missing > 0 && b.age(now) < b.span {
			b.charge(Amount(now.Sub(b.charged).Seconds()) * b.Rate * Amount(missing) / Amount(r.HostCount))
		}
		b.charged = now
	}
}
