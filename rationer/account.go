package rationer

import "time"

// savingTime is the time for which unused rate is saved up, which is long enough for requests of different sizes.
const savingTime = 500 * time.Millisecond

// account is what all hosts have used of an organisation's cap.
type account struct {
	Cap
	window
	// capped is false while this host has no cap for the organisation, but hears of its usage.
	capped bool
	// asked is what callers of this host have asked for lately.
	asked demand
	// reported is the usage in the latest reports of the peers.
	reported decayingSum
	// admitted is the amount admitted by this host since its start, own that within the window.
	admitted Amount
	own      window
	// lastAdmitted is the amount of the last request that this host admitted.
	lastAdmitted Amount
	// unseen is what was charged for each host that hadn't reported.
	unseen Amount
	// admittedAt is when admitted last changed.
	admittedAt time.Time
}

// limit returns the usage that the cap allows in a window.
func (a *account) limit() Amount {
	return a.Rate*Amount(a.span.Seconds()) + a.Burst
}

// evenRate returns the rate at which constant usage stays within the limit.
func (a *account) evenRate() Amount {
	return a.limit() / Amount(a.span.Seconds())
}

// total returns the usage in the window, with what peers have used since their last reports.
func (a *account) total(now time.Time, unreported *estimate) Amount {
	return a.used(now) + unreported.sum()
}

// recentRate returns the rate of the usage in the last quarter of the window.
func (a *account) recentRate(now time.Time, k *knowledge) Amount {
	unreported := k.usage(now, a)
	sum := unreported.sum()
	a.advance(now)
	for n := range slotCount / 4 {
		sum += a.counted(a.newest - n)
	}
	return sum / Amount(now.Sub(a.startOf(a.newest-slotCount/4+1)).Seconds())
}

// allowed returns the usage that the cap allows in the window if this host knows all of it. What was used before the part that
// it knows may have been as much as the rate and the burst allow.
func (a *account) allowed(known time.Duration) Amount {
	if known >= a.span {
		return a.limit()
	}
	return a.Rate * Amount(known.Seconds())
}

// knowledge is how much a host knows of what all hosts have used.
type knowledge struct {
	unreported
	// reach is the time before now for which usage is known.
	reach time.Duration
	// wholeWindow means that only the limit of the whole window counts.
	wholeWindow bool
}

// roundingError is the part of a limit by which sums of usage may be off; machines round products that are added differently.
const roundingError = 1e-9

// fits reports whether the amount is within the cap and leaves the reserve. One above the limit fits if nothing is used.
func (a *account) fits(now time.Time, k *knowledge, amount, reserve Amount) bool {
	unreported := k.usage(now, a)
	used := a.total(now, unreported)
	tolerance := roundingError * a.limit()
	return used+amount+reserve <= a.allowed(k.reach)+tolerance && a.excess(now, k, unreported, amount+reserve) <= tolerance || used <= 0
}

// excess returns by how much the usage in any latest part of the window would exceed the burst and the rate. Without this bound,
// hosts that all restart after a surge would grant again what the surge has used just before, and all hosts of a large fleet
// would use what they see left of the window at the same moment.
func (a *account) excess(now time.Time, k *knowledge, unreported *estimate, amount Amount) Amount {
	if k.wholeWindow {
		return 0
	}
	sum := amount
	highest := -a.limit()
	for n := range slotCount - 1 {
		sum += a.counted(a.newest-n) + unreported[n]
		passed := now.Sub(a.startOf(a.newest - n))
		highest = max(highest, sum-a.Burst-a.Rate*Amount((savingTime+passed).Seconds()))
	}
	return highest
}

// retryAfter returns the time until the amount fits if nothing else is admitted.
func (a *account) retryAfter(now time.Time, k *knowledge, amount Amount) time.Duration {
	if a.Rate <= 0 {
		return a.span
	}
	unreported := k.usage(now, a)
	used := a.total(now, unreported)
	untilRateHas := time.Duration(float64(a.excess(now, k, unreported, amount)/a.Rate) * float64(time.Second))
	return min(max(a.untilWindowHas(k, used, amount), untilRateHas), a.span)
}

// untilWindowHas returns the time until enough of the usage has left the window, or enough of the window is known.
func (a *account) untilWindowHas(k *knowledge, used, amount Amount) time.Duration {
	for n := range slotCount {
		after := time.Duration(n) * a.slotLength()
		if used+amount-a.expiring(n) <= a.allowed(k.reach+after) {
			return after
		}
	}
	return a.span
}
