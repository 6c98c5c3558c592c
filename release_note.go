package dotterelpulley

import (
	"fmt"
	"time"
)

// NoteID identifies a release note.
type NoteID string

// ChangeAction is the kind of a change in a release note.
type ChangeAction int

// The actions of a change.
const (
	ChangeAdd ChangeAction = iota
	ChangeReplace
	ChangeWithdraw
)

var changeNames = [...]string{"add", "change", "withdraw"}

// String returns the action's name in a release note.
func (a ChangeAction) String() string {
	if a < 0 || int(a) >= len(changeNames) {
		return fmt.Sprintf("change-action-%d", int(a))
	}
	return changeNames[a]
}

// Change is a change of one service from one build to another.
type Change struct {
	Action  ChangeAction
	Service ServiceID
	From    Build
	To      Build
	// After lists services whose changes in the same note must be done before this one.
	After []ServiceID
}

// ReleaseNote lists builds to add, change or withdraw, and the deadline.
type ReleaseNote struct {
	ID       NoteID
	Deadline time.Time
	// CanaryShare is the maximum share of a version that has not yet proved good.
	CanaryShare float64
	// ObservationTime is how long each step is observed before the share may increase again.
	ObservationTime time.Duration
	Changes         []Change
}

// Share is the fraction of a service's new requests that go to a version.
type Share struct {
	Version  VersionID
	Fraction float64
}
