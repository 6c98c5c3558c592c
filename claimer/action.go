package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Action is something that the claimer wants done.
type Action interface {
	action()
}

// AppendRoster asks for a record on the roster stream.
type AppendRoster struct {
	ID     RecordID
	Record RosterRecord
}

// AppendClaims asks for a record on the claims stream.
type AppendClaims struct {
	Record ClaimsRecord
}

// ReadRoster asks for a read of the roster stream that doesn't wait.
type ReadRoster struct {
	From Offset
}

// ReadClaims asks for a read of the claims stream that doesn't wait.
type ReadClaims struct {
	From Offset
}

// Ask asks other members a question.
type Ask struct {
	To       []Member
	Question Question
}

// Enqueue lets a request be queued here; it is dispatched only after Claim and MayStart.
type Enqueue struct {
	Ticket Ticket
}

// Attach gives a request the answer of a run on this host.
type Attach struct {
	Ticket Ticket
	Run    Ticket
}

// Forward sends a request to the member that holds its key or has its run.
type Forward struct {
	Ticket Ticket
	To     Member
	// Arrived is the time to send on as the request's arrival.
	Arrived time.Time
}

// Grant lets a claimed request be dispatched, if MayStart agrees right before its first byte.
type Grant struct {
	Ticket Ticket
}

// Refuse ends a request and all that are attached to it.
type Refuse struct {
	Ticket     Ticket
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// HolderChanged tells that another host holds the request's key now; it and all that are attached to it begin again.
type HolderChanged struct {
	Ticket Ticket
}

// DiscardAnswer lets the kept answer of an ended run go.
type DiscardAnswer struct {
	Ticket Ticket
}

// Expelled tells that the roster has ended this incarnation; the host may join as a new one.
type Expelled struct{}

// SignedOff tells that the leave record is on the log.
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
