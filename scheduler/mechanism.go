package scheduler

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanisms is a set of the scheduler's mechanisms, for experiments that switch some of them off.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// RankReserve leaves a part of each endpoint's slots free for more urgent work.
	RankReserve Mechanisms = 1 << iota
	// LateReserve leaves a larger part free when late work is placed.
	LateReserve
	// LateWork places work that can no longer be on time.
	LateWork
	// FirstEventCheck avoids endpoints where the first event would be late.
	FirstEventCheck
	// PauseCheck avoids endpoints where a prompt would delay the events of other runs for too long.
	PauseCheck
	// DeadlineCheck avoids endpoints that would not complete the answer in time.
	DeadlineCheck
	// PrefixHomes prefers endpoints that are likely to keep the prompt's prefix.
	PrefixHomes
	// ToldPaces uses what other hosts measure of endpoints.
	ToldPaces
	// UrgencyOrder leaves free slots to more urgent work that waits on other hosts.
	UrgencyOrder
	// ArrivalOrder leaves free slots to equally urgent work that has waited longer on other hosts.
	ArrivalOrder
	// UnseenPlacements counts what other hosts are likely to have placed since their last reports.
	UnseenPlacements
	// SizePreference prefers near endpoints for large requests while slots are free.
	SizePreference
	// FailureAvoidance prefers endpoints that fail less often.
	FailureAvoidance
	// ReportAgeing counts other hosts' runs less the older their reports are.
	ReportAgeing
)

// mechanismNames holds the names of the mechanisms in the order of their bits.
var mechanismNames = [...]string{
	"rank-reserve", "late-reserve", "late-work", "first-event-check", "pause-check", "deadline-check", "prefix-homes", "told-paces",
	"urgency-order", "arrival-order", "unseen-placements", "size-preference", "failure-avoidance", "report-ageing",
}

// ParseMechanisms returns the mechanisms with the names.
func ParseMechanisms(names []string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range names {
		i := slices.Index(mechanismNames[:], name)
		if i < 0 {
			return 0, fmt.Errorf("there is no mechanism %q, only %s", name, strings.Join(mechanismNames[:], ", "))
		}
		set |= 1 << i
	}
	return set, nil
}

// uses reports whether the mechanism is switched on.
func (p Policy) uses(m Mechanisms) bool {
	return p.Without&m == 0
}
