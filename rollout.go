package dotterelpulley

import (
	"fmt"
	"time"
)

// RolloutOrder is an operator's order to move the traffic of a service to endpoints of another version.
type RolloutOrder struct {
	Service  ServiceID
	Target   VersionID
	Duration time.Duration
}

// RolloutState is how far an ordered roll-out has come.
type RolloutState int

// The states of a roll-out.
const (
	RolloutInProgress RolloutState = iota
	RolloutCompleted
	RolloutRolledBack
)

var rolloutStateNames = [...]string{"in-progress", "completed", "rolled-back"}

// String returns the state's name in logs.
func (s RolloutState) String() string {
	if s < 0 || int(s) >= len(rolloutStateNames) {
		return fmt.Sprintf("rollout-state-%d", int(s))
	}
	return rolloutStateNames[s]
}

// RolloutStatus is the state of the roll-out of a version to a service, as operators read it.
type RolloutStatus struct {
	Service ServiceID
	Target  VersionID
	State   RolloutState
}
