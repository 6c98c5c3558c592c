package scheduler

import (
	"cmp"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// ID identifies a piece of work on this host.
type ID uint64

// Priority is a priority level, 0 the highest.
type Priority int

// Urgency is the order in which work is served.
type Urgency struct {
	Priority Priority
	// Rank is the route's own priority, which orders work of the same priority.
	Rank Priority
}

// Compare orders more urgent work first.
func (u Urgency) Compare(other Urgency) int {
	return cmp.Or(cmp.Compare(u.Priority, other.Priority), cmp.Compare(u.Rank, other.Rank))
}

// Work is a request to be placed on an endpoint.
type Work struct {
	Urgency
	ID      ID
	Service dotterelpulley.ServiceID
	Route   dotterelpulley.RouteID
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Objective is the time from the arrival within which the answer has its full value.
	Objective time.Duration
	// MaxEventInterval is the longest interval between events at which the answer is on time; zero means no limit.
	MaxEventInterval time.Duration
	// Deadline is when the caller or the route gives up.
	Deadline time.Time
	// Size is the length of the request's body in bytes.
	Size int
	// Prompt is the number of tokens to prefill; zero for a plain call.
	Prompt dotterelpulley.Tokens
	// Prefix is the beginning of the prompt that other requests share.
	Prefix Prefix
	// Answer is the expected number of tokens in the answer; zero if unknown.
	Answer dotterelpulley.Tokens
	// ExcludedEndpoints are the endpoints that the work must not run on.
	ExcludedEndpoints map[dotterelpulley.EndpointID]bool
	// ForTarget marks work that may run on the target of the service's split, and does if that has room.
	ForTarget bool

	// homes are those of Prefix when the work was offered.
	homes homes
	// kind is that of the route, sizeRank the work's rank in it by size: 0 the smallest, 1 the largest.
	kind     *kind
	sizeRank float64
	// turn is the time by which work of the same urgency is ordered.
	turn time.Time
	// obstacles counts what has kept the work from endpoints.
	obstacles *Obstacles
}

// Reason is why work was refused.
type Reason int

// The reasons for a refusal.
const (
	// ReasonLoad means that the work would start too late.
	ReasonLoad Reason = iota
	// ReasonNoEndpoint means that the service has no usable endpoint.
	ReasonNoEndpoint
)

var reasonNames = [...]string{"load", "no-endpoint"}

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	return reasonNames[r]
}

// Decision is the outcome for a piece of work, either Placed or Refused.
type Decision interface {
	decision()
}

// Placed means that the work is to be sent to an endpoint.
type Placed struct {
	ID       ID
	Endpoint Endpoint
	// Load is the estimated number of requests of all hosts on the endpoint.
	Load int
	// LoadAge is the age of the oldest host report in Load.
	LoadAge time.Duration
}

// Refused means that the work is rejected before it reaches any endpoint.
type Refused struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
	// Waiting is the number of requests of the service that wait on this host.
	Waiting int
	// Obstacles counts what kept the work from the endpoints while it waited.
	Obstacles Obstacles
}

func (Placed) decision()  {}
func (Refused) decision() {}

// Result is how a run ended.
type Result int

// The results of a run.
const (
	// ResultCompleted means that the complete answer arrived.
	ResultCompleted Result = iota
	// ResultRefused means that the endpoint refused to run the work.
	ResultRefused
	// ResultFailed means that the endpoint failed during the run.
	ResultFailed
	// ResultUnreachable means that the work did not reach the endpoint.
	ResultUnreachable
	// ResultDead means that nothing listens at the endpoint's address, so the work did not reach it or ended with it.
	ResultDead
	// ResultWrongInstance means that another instance at the endpoint's address rejected the work.
	ResultWrongInstance
	// ResultCancelled means that this side ended the run.
	ResultCancelled
)
