package dotterelpulley

import (
	"fmt"
	"time"
)

// Tier is the priority of a request; lower numbers are served first and shed last.
type Tier int

// The tiers, from the one shed last to the one shed first.
const (
	TierUrgent Tier = iota
	TierInteractive
	TierStandard
	TierPlanned
	TierBackground
)

// TierCount is the number of tiers.
const TierCount = 5

var tierNames = [TierCount]string{"urgent", "interactive", "standard", "planned", "background"}

var tierDeadlines = [TierCount]time.Duration{
	10 * time.Second,
	20 * time.Second,
	time.Minute,
	5 * time.Minute,
	15 * time.Minute,
}

// String returns the tier's name in settings and requests.
func (t Tier) String() string {
	if !t.Valid() {
		return fmt.Sprintf("tier-%d", int(t))
	}
	return tierNames[t]
}

// Valid reports whether t is one of the five tiers.
func (t Tier) Valid() bool {
	return t >= TierUrgent && t < TierCount
}

// DefaultDeadline returns the time limit of a request of the tier that sets no deadline.
func (t Tier) DefaultDeadline() time.Duration {
	if !t.Valid() {
		return tierDeadlines[TierBackground]
	}
	return tierDeadlines[t]
}

// ParseTier returns the tier with the name.
func ParseTier(name string) (Tier, error) {
	for t, known := range tierNames {
		if name == known {
			return Tier(t), nil
		}
	}
	return 0, fmt.Errorf("tier %q is none of %q", name, tierNames)
}
