package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Ticket identifies one caller's request on this host.
type Ticket int64

// Event is an input of the claimer.
type Event interface {
	event()
}

// Tick reports only the time.
type Tick struct{}

// RosterRead delivers records of the roster stream.
type RosterRead struct {
	// SentAt is when the read was sent.
	SentAt  time.Time
	Records []StoredRosterRecord
	// AtEnd reports that the stream held no later record.
	AtEnd bool
}

// RosterReceived delivers the roster as another member knows it, for a host that can't read the log.
type RosterReceived struct {
	Snapshot Snapshot
}

// ClaimsRead delivers records of the claims stream.
type ClaimsRead struct {
	SentAt  time.Time
	Records []StoredClaimsRecord
	AtEnd   bool
}

// AppendEnded reports how an append ended; one that was not acknowledged may still have taken effect.
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
	// Issued reports that this host has just issued the key for this request.
	Issued bool
	// Visited are the hosts that the request has passed through.
	Visited []dotterelpulley.HostID
}

// Claim asks for the right to dispatch an enqueued request.
type Claim struct {
	Ticket Ticket
}

// Outcome is how a request ended on this host.
type Outcome int

// The outcomes.
const (
	// OutcomeAnswered means that the run returned an answer or a failure, which the driver retains.
	OutcomeAnswered Outcome = iota
	// OutcomeUnfinished means that it is unknown how far the request has run.
	OutcomeUnfinished
	// OutcomeNotStarted means that no endpoint has started it.
	OutcomeNotStarted
)

// RequestEnded reports that the work on a request is over.
type RequestEnded struct {
	Ticket  Ticket
	Outcome Outcome
	// Kind is the reason why a request was not started.
	Kind       dotterelpulley.ErrorKind
	RetryAfter time.Duration
}

// ReplyReceived delivers another member's reply to a question.
type ReplyReceived struct {
	Reply Reply
}

// HostsListed reports the entry hosts on the host list.
type HostsListed struct {
	Hosts []dotterelpulley.HostID
}

// DrainStarted asks to hand over all ranges.
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
