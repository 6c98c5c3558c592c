package scheduler

import (
	"cmp"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// ID names a piece of work on this host.
type ID uint64

// Priority is a rank, 0 the highest.
type Priority int

// Urgency orders kinds of work.
type Urgency struct {
	Priority Priority
	// Rank is the route's own priority, which orders work of one priority.
	Rank Priority
}

// Compare orders the more urgent first.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Priority, other.Priority), cmp.Compare(u.Rank, other.Rank))
}

// Work is a request that wants an endpoint.
type Work struct {
	Urgency
	ID      ID
	Service dotterelpulley.ServiceID
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Objective is the time from the arrival within which the answer is worth most.
	Objective time.Duration
	// MaxEventInterval is the longest pause between events with which the answer is on time; zero means no limit.
	MaxEventInterval time.Duration
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Prompt is the number of tokens that the endpoint has to read first; zero for a plain call.
	Prompt dotterelpulley.Tokens
	// Answer is the expected number of tokens of the answer; zero if unknown.
	Answer dotterelpulley.Tokens
	// ExcludedEndpoints names the endpoints that it must not run on.
	ExcludedEndpoints map[dotterelpulley.EndpointID]bool
}

// Reason tells why work was refused.
type Reason int

// The reasons for a refusal.
const (
	// ReasonLoad is work that would start too late.
	ReasonLoad Reason = iota
	// ReasonNoEndpoint is work of a service without a usable endpoint.
	ReasonNoEndpoint
)

var reasonNames = [...]string{"load", "no-endpoint"}

// String returns the reason's name in logs.
func (r Reason) String() string {
	return reasonNames[r]
}

// Decision is what becomes of a piece of work.
type Decision interface {
	decision()
}

// Placed sends the work to an endpoint.
type Placed struct {
	ID       ID
	Endpoint Endpoint
	// Load is how many requests of all hosts the endpoint was taken to run.
	Load int
	// LoadAge is the age of the oldest word of another host in Load.
	LoadAge time.Duration
}

// Refused turns the work away before any endpoint has seen it.
type Refused struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
	// Waiting is how many requests of the service wait on this host.
	Waiting int
}

func (Placed) decision()  {}
func (Refused) decision() {}

// Result tells how a run ended.
type Result int

// The ways in which a run ends.
const (
	// ResultCompleted is a run whose whole answer came.
	ResultCompleted Result = iota
	// ResultRefused is work that the endpoint did not run.
	ResultRefused
	// ResultFailed is a run that the endpoint failed.
	ResultFailed
	// ResultUnreachable is work that did not reach the endpoint.
	ResultUnreachable
	// ResultDead is work that did not reach the endpoint, or ended with it, as nothing listens at its address.
	ResultDead
	// ResultWrongInstance is work that another instance at the endpoint's address turned away.
	ResultWrongInstance
	// ResultCancelled is a run that was ended from this side.
	ResultCancelled
)
