package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Offset is a record's position in its stream.
type Offset int64

// RecordID identifies a record, also if it is on the log twice.
type RecordID string

// Member is a host that can hold ranges.
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
	// Unrecorded reports that the member has run claims that the log doesn't show.
	Unrecorded bool
}

// Drain marks a member that is to hold no more ranges but still answers for its running requests.
type Drain struct {
	Incarnation dotterelpulley.Incarnation
}

// Leave removes a member whose claims are all on the log.
type Leave struct {
	Incarnation dotterelpulley.Incarnation
}

// Yield hands over a member's reassigned ranges to their new holders, with all claims in them on the log.
type Yield struct {
	Incarnation dotterelpulley.Incarnation
	// Epoch is the offset of the membership change that reassigned the ranges.
	Epoch Offset
}

// Proof is the reason why a member is known to dispatch nothing any more.
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
	// Base is the last roster offset that the decision is based on.
	Base  Offset
	Proof Proof
	// Gone is when the proof was first seen.
	Gone time.Time
	// Clean reports that no remaining member knows of unrecorded claims.
	Clean bool
}

// Snapshot is the whole roster as of the offset Base.
type Snapshot struct {
	Base  Offset
	State RosterState
}

// Void replaces a record that can't be read; it changes nothing.
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
	// Released are keys that have not run under any earlier group; this group may claim one again.
	Released []KeyHash
}

// StoredClaimsRecord is a group of claims as read from the log.
type StoredClaimsRecord struct {
	ClaimsRecord
	Offset   Offset
	Appended time.Time
}
