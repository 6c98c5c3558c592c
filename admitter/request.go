package admitter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// ID names a waiting request within one entry host.
type ID string

// Cost is the expected work of a request, in tokens.
type Cost float64

// Request is a request that asks to run.
type Request struct {
	ID           ID
	Organisation dotterelpulley.OrganisationID
	Tier         dotterelpulley.Tier
	Service      dotterelpulley.ServiceID
	Cost         Cost
	Deadline     time.Time
}

// Shed is a request that was refused or given up before it ran.
type Shed struct {
	Request
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// Outcome tells how the run of an admitted request ended.
type Outcome int

// How a run ends.
const (
	OutcomeCompleted Outcome = iota
	OutcomeFailed
)
