package rationer

import "slices"

// Mechanisms is a set of the rationer's mechanisms, for experiments that switch some of them off.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// UrgentReserve leaves room near the cap to an organisation's more urgent requests.
	UrgentReserve Mechanisms = 1 << iota
	// UnreportedUse estimates what peers have used since their last reports.
	UnreportedUse
	// SilentCharges charges silent hosts their share.
	SilentCharges
	// UnseenCharges charges hosts that haven't reported since this host's start their share.
	UnseenCharges
	// CapRate bounds usage in all parts of the window by the burst and the rate.
	CapRate
)

var mechanismNames = [...]string{"urgent-reserve", "unreported-use", "silent-charges", "unseen-charges", "cap-rate"}

// ParseMechanism returns the mechanism with the name; ok is false if there is none.
func ParseMechanism(name string) (m Mechanisms, ok bool) {
	i := slices.Index(mechanismNames[:], name)
	if i < 0 {
		return 0, false
	}
	return 1 << i, true
}

// uses reports whether the mechanism is switched on.
func (r *Rationer) uses(m Mechanisms) bool {
	return r.Without&m == 0
}
