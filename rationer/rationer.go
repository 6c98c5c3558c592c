package rationer

import (
	"maps"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Amount is usage in the unit of an organisation's cap: requests or tokens.
type Amount float64

// Cap limits an organisation's usage across all hosts: in any window, to the window's length times the rate, plus the burst.
type Cap struct {
	// Rate is the amount allowed per second, Burst the amount allowed on top of it in a window.
	Rate  Amount
	Burst Amount
}

const (
	// defaultWindow is the length of the usage window if none is set.
	defaultWindow = 8 * time.Second
	// defaultSilenceTimeout is the time without a report after which a host's usage is estimated, if none is set.
	defaultSilenceTimeout = 500 * time.Millisecond
	// forgetAfter is the time for which a host that is cut off may serve requests. Its peers assume that it serves none after that
	// time and what its reports may be late at either end, but not before silencesUntilForgotten times the silence timeout, which
	// grows with the fleet.
	forgetAfter            = 6 * time.Second
	silencesUntilForgotten = 2
)

// Rationer enforces caps with one host's view of all organisations' usage; the zero value is ready to use.
type Rationer struct {
	// Window is the span within which usage stays below its length times the rate, plus the burst; 8 s if zero.
	Window time.Duration
	// HostCount is the number of hosts that may exist, including this one. In the first window after the start, hosts
	// that have not reported yet are assumed to use their share of each cap.
	HostCount int
	// SilenceTimeout is the time without a report after which a host's usage is estimated; 500 ms if zero.
	SilenceTimeout time.Duration

	// Without holds the mechanisms that are switched off.
	Without Mechanisms

	accounts map[dotterelpulley.OrganisationID]*account
	peers    map[dotterelpulley.HostID]*peer
	// startedAt is when this host began to count, knownSince from when on it knows what all hosts have used.
	startedAt  time.Time
	knownSince time.Time
	// reportedTime is the time that the latest reports of the peers cover, in seconds.
	reportedTime decayingSum
	// lateness is that of the reports of all peers.
	lateness lateness
	// unseenChargedAt is when hosts that have not reported yet were last charged.
	unseenChargedAt time.Time
}

func (r *Rationer) init(now time.Time) {
	if r.accounts == nil {
		r.accounts = map[dotterelpulley.OrganisationID]*account{}
		r.peers = map[dotterelpulley.HostID]*peer{}
		r.startedAt, r.knownSince, r.unseenChargedAt = now, now, now
	}
}

// account returns the organisation's account, a new one without a cap if there was none.
func (r *Rationer) account(id dotterelpulley.OrganisationID) *account {
	a, ok := r.accounts[id]
	if !ok {
		a = &account{window: window{span: r.window(), origin: r.startedAt}, own: window{span: r.window(), origin: r.startedAt}}
		r.accounts[id] = a
	}
	return a
}

// SetCap sets or replaces an organisation's cap.
func (r *Rationer) SetCap(now time.Time, id dotterelpulley.OrganisationID, c Cap) {
	r.init(now)
	a := r.account(id)
	a.Cap, a.capped = c, true
	a.setLimit(now, a.limit())
}

func (r *Rationer) window() time.Duration {
	if r.Window > 0 {
		return r.Window
	}
	return defaultWindow
}

// RemoveCap removes the cap of an organisation. What it has used is kept, as the cap may come back within the window.
func (r *Rationer) RemoveCap(id dotterelpulley.OrganisationID) {
	if a, ok := r.accounts[id]; ok {
		a.capped = false
	}
}

// knowledge returns how much this host knows of what all hosts have used.
func (r *Rationer) knowledge(now time.Time) *knowledge {
	k := &knowledge{reach: r.known(now), wholeWindow: !r.uses(CapRate)}
	if !r.uses(UnreportedUse) {
		return k
	}
	k.reportedTime, k.peers = r.reportedTime.decayed(now), len(r.peers)
	slots := window{span: r.window(), origin: r.startedAt}
	phase := now.Sub(slots.startOf(slots.slotAt(now)))
	for _, p := range r.peers {
		if age := now.Sub(p.lastReport); age < r.silenceTimeout() && !p.unmeasured {
			// A silent host is charged its share of the cap instead.
			k.unheard.add(age, phase, slots.slotLength())
		}
	}
	return k
}

// known returns the time before now for which this host knows what all hosts have used.
func (r *Rationer) known(now time.Time) time.Duration {
	return now.Sub(r.knownSince)
}

// Refusal explains why a request was refused.
type Refusal struct {
	// RetryAfter is the time after which the amount may fit.
	RetryAfter time.Duration
	// Used and Allowed are the usage in the window and its limit.
	Used    Amount
	Allowed Amount
}

// Admit admits a request of the organisation, or returns false and the reason for the refusal. Near the cap it leaves room for
// the organisation's more urgent requests.
func (r *Rationer) Admit(now time.Time, id dotterelpulley.OrganisationID, amount Amount, rank Rank) (Refusal, bool) {
	a, ok := r.accounts[id]
	if !ok || !a.capped {
		return Refusal{}, true
	}
	r.chargeSilentHosts(now)
	k := r.knowledge(now)
	a.asked.add(now, rank, amount)
	reserve := Amount(0)
	if r.uses(UrgentReserve) {
		reserve = a.asked.reserve(now, rank, amount, a.recentRate(now, k))
	}
	if !a.fits(now, k, amount, reserve) {
		return Refusal{RetryAfter: a.retryAfter(now, k, amount+reserve), Used: a.total(now, k.usage(now, a)), Allowed: a.allowed(k.reach)}, false
	}
	a.add(now, now, amount)
	a.own.add(now, now, amount)
	a.lastAdmitted = amount
	a.asked.admitted.add(now, float64(amount))
	a.admitted += amount
	a.admittedAt = now
	return Refusal{}, true
}

// Refund returns the amount that was charged at the time for a request that did not run.
func (r *Rationer) Refund(now, chargedAt time.Time, id dotterelpulley.OrganisationID, amount Amount) {
	if a, ok := r.accounts[id]; ok && a.capped {
		a.add(now, chargedAt, -amount)
		a.own.add(now, chargedAt, -amount)
		a.admitted -= amount
		a.admittedAt = now
	}
}

// Remaining returns how much the organisation may use at once; ok is false if the organisation has no cap.
func (r *Rationer) Remaining(now time.Time, id dotterelpulley.OrganisationID) (remaining Amount, ok bool) {
	a, ok := r.accounts[id]
	if !ok || !a.capped {
		return 0, false
	}
	k := r.knowledge(now)
	return a.allowed(k.reach) - a.total(now, k.usage(now, a)), true
}

// LocalUsage returns this host's report to its peers: what each organisation has used on it under a cap since its start.
func (r *Rationer) LocalUsage() map[dotterelpulley.OrganisationID]Amount {
	usage := make(map[dotterelpulley.OrganisationID]Amount, len(r.accounts))
	for id, a := range r.accounts {
		if a.capped || a.admitted != 0 {
			usage[id] = a.admitted
		}
	}
	return usage
}

// RecentUsage returns this host's report on the organisations whose usage has changed within the time.
func (r *Rationer) RecentUsage(now time.Time, within time.Duration) map[dotterelpulley.OrganisationID]Amount {
	usage := r.LocalUsage()
	maps.DeleteFunc(usage, func(id dotterelpulley.OrganisationID, _ Amount) bool {
		return now.Sub(r.accounts[id].admittedAt) > within
	})
	return usage
}
