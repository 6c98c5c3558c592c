package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Action is a side effect that the claimer requests from its driver.
type Action interface {
	action()
}

// AppendRoster appends a record to the roster stream.
type AppendRoster struct {
	ID     RecordID
	Record RosterRecord
}

// AppendClaims appends a record to the claims stream.
type AppendClaims struct {
	Record ClaimsRecord
}

// ReadRoster reads the roster stream without waiting for new records.
type ReadRoster struct {
	From Offset
}

// ReadClaims reads the claims stream without waiting for new records.
type ReadClaims struct {
	From Offset
}

// Ask sends a question to other members.
type Ask struct {
	To       []Member
	Question Question
}

// Enqueue admits a request to this host's queue; it may be dispatched only after Claim and MayStart.
type Enqueue struct {
	Ticket Ticket
}

// Attach answers a request with the result of a run on this host.
type Attach struct {
	Ticket Ticket
	Run    Ticket
}

// Forward sends a request to the member that holds its key or has run it.
type Forward struct {
	Ticket Ticket
	To     Member
	// Arrived is the request's arrival time to send along.
	Arrived time.Time
}

// Grant allows a claimed request to be dispatched if MayStart returns true right before its first byte is sent.
type Grant struct {
	Ticket Ticket
}

// Refuse ends a request and all requests attached to it.
type Refuse struct {
	Ticket     Ticket
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// HolderChanged reports that another host now holds the request's key; it and all requests attached to it are submitted again.
type HolderChanged struct {
	Ticket Ticket
}

// DiscardAnswer drops the retained answer of an ended run.
type DiscardAnswer struct {
	Ticket Ticket
}

// Expelled reports that the roster has ended this incarnation; the host may join as a new one.
type Expelled struct{}

// SignedOff reports that the leave record is on the log.
type SignedOff struct{}

func (AppendRoster) action()  {}
func (AppendClaims) action()  {}
func (ReadRoster) action()    {}
func (ReadClaims) action()    {}
func (Ask) action()           {}
func (Enqueue) action()       {}
func (Attach) action()        {}
func (Forward) action()       {}
func (Grant) action()         {}
func (Refuse) action()        {}
func (HolderChanged) action() {}
func (DiscardAnswer) action() {}
func (Expelled) action()      {}
func (SignedOff) action()     {}
