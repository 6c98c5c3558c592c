package recorder

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// RecordID is a record's own unique id, by which its writer knows it again.
type RecordID string

// Envelope is one record of a stream as its writer made it.
type Envelope struct {
	ID RecordID
	// Base is the configuration revision that the record was made from.
	Base dotterelpulley.Revision
	Body Body
}

// Place is where and when the log took a record.
type Place struct {
	Offset   appender.Offset
	Appended time.Time
}

// Body is what a record says; the variants are in this file.
type Body interface {
	body()
}

// Delta changes the configuration: settings that are set replace those of the same id.
type Delta struct {
	Services            []dotterelpulley.ServiceSettings
	Organisations       []dotterelpulley.OrganisationSettings
	Tiers               []TierDelta
	RemoveServices      []dotterelpulley.ServiceID
	RemoveOrganisations []dotterelpulley.OrganisationID
}

// TierDelta sets one tier.
type TierDelta struct {
	Tier     dotterelpulley.Tier
	Settings dotterelpulley.TierSettings
}

// Note publishes a release note.
type Note struct {
	Note dotterelpulley.ReleaseNote
}

// ConfigurationSnapshot is the fold of every record of the configuration stream before it.
type ConfigurationSnapshot struct {
	// Through is the offset of the last record in the fold; the snapshot counts directly after it only.
	Through appender.Offset
	State   ConfigurationState
}

// Claim takes the lease of the active mover; its offset is the fencing number.
type Claim struct {
	Holder   dotterelpulley.HostID
	Duration time.Duration
	// After is the fence of the lease that the claim takes over; 0 for none.
	After appender.Offset
}

// Renewal keeps the lease.
type Renewal struct {
	Fence appender.Offset
}

// Release gives the lease up.
type Release struct {
	Fence appender.Offset
}

// Opening starts the move of one change of a release note.
type Opening struct {
	Fence           appender.Offset
	Move            MoveID
	Action          dotterelpulley.ChangeAction
	From            dotterelpulley.Build
	To              dotterelpulley.Build
	Deadline        time.Time
	Cap             float64
	ObservationTime time.Duration
}

// Step gives the new version of a running move its next share.
type Step struct {
	Fence  appender.Offset
	Move   MoveID
	Number int
	Share  float64
	Reason string
}

// Outcome ends a move.
type Outcome struct {
	Fence  appender.Offset
	Move   MoveID
	Done   bool
	Reason string
}

// BadVersion says that a running move's new version is bad; it needs no lease.
type BadVersion struct {
	Move    MoveID
	Version dotterelpulley.VersionID
	Reason  string
	By      dotterelpulley.HostID
}

// MovesSnapshot is the fold of every record of the moves stream before it.
type MovesSnapshot struct {
	// Through is the offset of the last record in the fold; the snapshot counts directly after it only.
	Through appender.Offset
	State   MovesState
}

func (Delta) body()                 {}
func (Note) body()                  {}
func (ConfigurationSnapshot) body() {}
func (Claim) body()                 {}
func (Renewal) body()               {}
func (Release) body()               {}
func (Opening) body()               {}
func (Step) body()                  {}
func (Outcome) body()               {}
func (BadVersion) body()            {}
func (MovesSnapshot) body()         {}
