package recorder

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// RecordID is the unique id by which a writer recognises its own record in the stream.
type RecordID string

// Envelope is one record of a stream as its writer created it.
type Envelope struct {
	ID RecordID
	// Base is the configuration revision that the record is based on.
	Base dotterelpulley.Revision
	Body Body
}

// Position is the offset and time at which the log appended a record.
type Position struct {
	Offset   appender.Offset
	Appended time.Time
}

// Body is the content of a record; this file defines its variants.
type Body interface {
	body()
}

// Delta changes the configuration; its settings replace those with the same id.
type Delta struct {
	Services            []dotterelpulley.ServiceSettings
	Organisations       []dotterelpulley.OrganisationSettings
	Tiers               []TierDelta
	RemoveServices      []dotterelpulley.ServiceID
	RemoveOrganisations []dotterelpulley.OrganisationID
}

// TierDelta replaces the settings of one tier.
type TierDelta struct {
	Tier     dotterelpulley.Tier
	Settings dotterelpulley.TierSettings
}

// Note publishes a release note.
type Note struct {
	Note dotterelpulley.ReleaseNote
}

// ConfigurationSnapshot is the state after every earlier record of the configuration stream.
type ConfigurationSnapshot struct {
	// Through is the offset of the last record that State includes; the snapshot is valid only directly after it.
	Through appender.Offset
	State   ConfigurationState
}

// Claim acquires the lease of the active mover; the claim's offset is the fencing token.
type Claim struct {
	Holder   dotterelpulley.HostID
	Duration time.Duration
	// PreviousFence is the fence of the lease that the claim takes over; 0 for none.
	PreviousFence appender.Offset
}

// Renewal extends the lease.
type Renewal struct {
	Fence appender.Offset
}

// Release ends the lease early.
type Release struct {
	Fence appender.Offset
}

// Opening starts the move for one change of a release note.
type Opening struct {
	Fence           appender.Offset
	Move            MoveID
	Action          dotterelpulley.ChangeAction
	From            dotterelpulley.Build
	To              dotterelpulley.Build
	Deadline        time.Time
	CanaryShare     float64
	ObservationTime time.Duration
}

// Step sets the next traffic share of a running move's new version.
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

// BadVersion marks a running move's new version as bad; any host may write it without the lease.
type BadVersion struct {
	Move       MoveID
	Version    dotterelpulley.VersionID
	Reason     string
	ReportedBy dotterelpulley.HostID
}

// MovesSnapshot is the state after every earlier record of the moves stream.
type MovesSnapshot struct {
	// Through is the offset of the last record that State includes; the snapshot is valid only directly after it.
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
