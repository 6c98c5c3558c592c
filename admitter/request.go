package admitter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// ID identifies a request within one entry host.
type ID string

// Cost is the work of a request, in tokens.
type Cost float64

// Request is a request that asks for admission.
type Request struct {
	ID           ID
	Organisation dotterelpulley.OrganisationID
	Tier         dotterelpulley.Tier
	Service      dotterelpulley.ServiceID
	Cost         Cost
	Deadline     time.Time
}

// Shed is a request that was refused or expired before it ran.
type Shed struct {
	Request
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// Outcome is how the run of an admitted request ended.
type Outcome int

// The outcomes of a run.
const (
	OutcomeCompleted Outcome = iota
	OutcomeFailed
)
