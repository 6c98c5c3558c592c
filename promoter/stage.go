package promoter

import "fmt"

// Stage is how far a roll-out has come. It only grows, so that hosts agree on it without a word on its order.
type Stage int

// The stages of a roll-out.
const (
	// Held means that nothing is known of the time that is left; the target gets no requests while others can take them.
	Held Stage = iota
	// Canary means that the target gets a small share.
	Canary
	// Full means that the target gets all that the exposure limit permits.
	Full
	// TakenBack means that the target gets no more requests.
	TakenBack
	// RolledBack means that the store says so too.
	RolledBack
	// Completed means that the store says that only the target is in use.
	Completed
)

var stageNames = [...]string{"held", "canary", "full", "taken-back", "rolled-back", "completed"}

// String returns the stage's name in logs.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return fmt.Sprintf("stage-%d", int(s))
	}
	return stageNames[s]
}

// running reports whether the target may get requests that its limit permits.
func (s Stage) running() bool {
	return s == Canary || s == Full
}

// final reports whether the store holds the outcome.
func (s Stage) final() bool {
	return s >= RolledBack
}
