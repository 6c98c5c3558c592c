package router

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Kind determines how often a request of a route may run.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered with server-sent events and run at most once unless the route is resumable.
	Streaming
)

var kindNames = [...]string{"non-idempotent", "idempotent", "streaming"}

// String returns the kind's name in logs.
func (k Kind) String() string {
	return kindNames[k]
}

// Priority is a rank; 0 is the highest.
type Priority int

// Share is the fraction of a route's traffic that goes to one service, by weight.
type Share struct {
	Service dotterelpulley.ServiceID
	Weight  float64
}

// Route defines the services and the latency objectives for requests with one host and path prefix.
type Route struct {
	ID     dotterelpulley.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits; zero means no limit.
	Timeout time.Duration
	// Objective is the maximum time to the response, or to the first event, for a response to be on time.
	Objective time.Duration
	// MaxEventInterval is the maximum time between events for a response to be on time.
	MaxEventInterval time.Duration
	Priority         Priority
	Shares           []Share
	MaxAttempts      int
	// Public routes require no key.
	Public bool
	// Resumable streams can continue on another endpoint after their last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// minPatience is how long callers wait for an event at least.
const minPatience = 2 * time.Second

// Patience returns how long callers wait for the next event of a stream, also for its first, before they give up.
func (r *Route) Patience() time.Duration {
	const objectives, eventIntervals = 4, 8
	return max(minPatience, objectives*r.Objective, eventIntervals*r.MaxEventInterval)
}

// Service is the configuration of a service.
type Service struct {
	ID dotterelpulley.ServiceID
	// MaxConnections bounds the connections that one endpoint accepts from all hosts together; zero means no limit.
	MaxConnections int
}

// CallerKey is a secret that identifies an organisation's callers.
type CallerKey string

// Organisation is the configuration of an organisation.
type Organisation struct {
	ID   dotterelpulley.OrganisationID
	Keys []CallerKey
	// Priority overrides the route's priority if HasPriority is set.
	Priority    Priority
	HasPriority bool
	// Rate and Burst bound the organisation's usage across all hosts, in tokens or requests; no limit if both are zero.
	Rate  float64
	Burst float64
	// InTokens is true if Rate and Burst count tokens rather than requests.
	InTokens bool
	// DefaultTokens is the usage of a request without token counts if InTokens is set.
	DefaultTokens dotterelpulley.Tokens
}

// HasCap reports whether the organisation has a usage cap.
func (o *Organisation) HasCap() bool {
	return o.Rate > 0 || o.Burst > 0
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// HeadBytes bounds the size of a request's head; no limit if zero.
	HeadBytes int
	// BodyBytes bounds the size of a request body; no limit if zero.
	BodyBytes int64
}
