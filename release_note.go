package dotterelpulley

import (
	"fmt"
	"time"
)

// NoteID names a release note.
type NoteID string

// ChangeAction tells what a change of a release note does.
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

// Change moves one service from one build to another.
type Change struct {
	Action  ChangeAction
	Service ServiceID
	From    Build
	To      Build
	// After names services whose changes in the same note come first.
	After []ServiceID
}

// ReleaseNote lists what is added, changed or withdrawn, and by when.
type ReleaseNote struct {
	ID       NoteID
	Deadline time.Time
	// CanaryShare bounds the share of a version that has not been proved.
	CanaryShare float64
	// Watch is the time for which a step to more load is watched.
	Watch   time.Duration
	Changes []Change
}

// Share is the fraction of a service's new requests that a version gets.
type Share struct {
	Version  VersionID
	Fraction float64
}
