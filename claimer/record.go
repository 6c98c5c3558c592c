package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Offset is a record's place in its stream.
type Offset int64

// RecordID tells a record from every other, also when it stands on the log twice.
type RecordID string

// Member is a host that takes part in holding ranges.
type Member struct {
	Host        dotterelpulley.HostID
	Incarnation dotterelpulley.Incarnation
	Peer        dotterelpulley.Address
}

// RosterRecord is a record of the roster stream.
type RosterRecord interface {
	rosterRecord()
}

// Join adds a member.
type Join struct {
	Member Member
}

// Renew extends a member's lease.
type Renew struct {
	Incarnation dotterelpulley.Incarnation
	// Base is the last roster offset that the member had seen.
	Base Offset
	// Unrecorded tells that the member has run claims which the log doesn't show.
	Unrecorded bool
}

// Drain marks a member that holds no ranges any more and still answers for its live runs.
type Drain struct {
	Incarnation dotterelpulley.Incarnation
}

// Leave signs a member off, all its claims being on the log.
type Leave struct {
	Incarnation dotterelpulley.Incarnation
}

// Yield hands the member's moved ranges to their new holders, all its claims being on the log.
type Yield struct {
	Incarnation dotterelpulley.Incarnation
	// Epoch is the offset of the membership change that moved the ranges.
	Epoch Offset
}

// Proof tells why a member is known to dispatch nothing any more.
type Proof int

// The proofs that a member is gone.
const (
	ProofSilence Proof = iota
	ProofReplaced
	ProofUnlisted
)

// Expire removes a member that is known to be gone.
type Expire struct {
	Incarnation dotterelpulley.Incarnation
	// Base is the last roster offset that the judgement rests on.
	Base  Offset
	Proof Proof
	// Gone is when the proof was first seen.
	Gone time.Time
	// Clean tells that no remaining member knows of unrecorded claims.
	Clean bool
}

// Snapshot repeats the whole roster as it stood after the offset Base.
type Snapshot struct {
	Base  Offset
	State RosterState
}

// Void stands for a record that can't be read and changes nothing.
type Void struct{}

func (Void) rosterRecord()     {}
func (Join) rosterRecord()     {}
func (Renew) rosterRecord()    {}
func (Drain) rosterRecord()    {}
func (Leave) rosterRecord()    {}
func (Yield) rosterRecord()    {}
func (Expire) rosterRecord()   {}
func (Snapshot) rosterRecord() {}

// StoredRosterRecord is a roster record as read from the log.
type StoredRosterRecord struct {
	ID       RecordID
	Offset   Offset
	Appended time.Time
	Record   RosterRecord
}

// ClaimsRecord is a group of claims of one incarnation.
type ClaimsRecord struct {
	ID          RecordID
	Incarnation dotterelpulley.Incarnation
	// Sequence orders the groups of one incarnation, whatever their offsets.
	Sequence int64
	Claimed  []KeyHash
	// Released keys have not run under any earlier group; one may be claimed again in this group.
	Released []KeyHash
}

// StoredClaimsRecord is a group of claims as read from the log.
type StoredClaimsRecord struct {
	ClaimsRecord
	Offset   Offset
	Appended time.Time
}
