package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Ticket names one caller's request on this host.
type Ticket int64

// Event is something that the claimer is told.
type Event interface {
	event()
}

// Tick tells only the time.
type Tick struct{}

// RosterRead brings records of the roster stream.
type RosterRead struct {
	// SentAt is when the read was sent.
	SentAt  time.Time
	Records []StoredRosterRecord
	// AtEnd tells that the stream held no later record.
	AtEnd bool
}

// RosterReceived brings the roster as another member knows it, for a host that can't read the log.
type RosterReceived struct {
	Snapshot Snapshot
}

// ClaimsRead brings records of the claims stream.
type ClaimsRead struct {
	SentAt  time.Time
	Records []StoredClaimsRecord
	AtEnd   bool
}

// AppendEnded tells how an append ended; one that is not known to have landed may have.
type AppendEnded struct {
	ID           RecordID
	Acknowledged bool
}

// Submit asks what to do with a request.
type Submit struct {
	Ticket      Ticket
	Key         dotterelpulley.Key
	Kind        dotterelpulley.RequestKind
	Fingerprint Fingerprint
	// Arrived is when the request reached its first entry host.
	Arrived time.Time
	// Issued tells that this host has just issued the key for this request.
	Issued bool
	// Visited are the hosts that the request has been through.
	Visited []dotterelpulley.HostID
}

// Claim asks for the right to dispatch a request that may proceed.
type Claim struct {
	Ticket Ticket
}

// Outcome tells how a request ended on this host.
type Outcome int

// The outcomes.
const (
	// OutcomeAnswered means that the run gave its answer, whole or as a failure that the shell keeps.
	OutcomeAnswered Outcome = iota
	// OutcomeUnfinished means that the request may have run to any point.
	OutcomeUnfinished
	// OutcomeNotStarted means that no endpoint has started it.
	OutcomeNotStarted
)

// RequestEnded tells that the work on a request is over.
type RequestEnded struct {
	Ticket  Ticket
	Outcome Outcome
	// Kind is the reason of a request that was not started.
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// ReplyReceived brings another member's reply to a question.
type ReplyReceived struct {
	Reply Reply
}

// HostsListed brings the entry hosts on the host list.
type HostsListed struct {
	Hosts []dotterelpulley.HostID
}

// DrainStarted asks to give away all ranges.
type DrainStarted struct{}

// SignOff asks to leave the roster once every claim is on the log.
type SignOff struct{}

func (Tick) event()           {}
func (RosterRead) event()     {}
func (RosterReceived) event() {}
func (ClaimsRead) event()     {}
func (AppendEnded) event()    {}
func (Submit) event()         {}
func (Claim) event()          {}
func (RequestEnded) event()   {}
func (ReplyReceived) event()  {}
func (HostsListed) event()    {}
func (DrainStarted) event()   {}
func (SignOff) event()        {}
