package router

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run once at most.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered by server-sent events and run once at most unless the route is resumable.
	Streaming
)

var kindNames = [...]string{"non-idempotent", "idempotent", "streaming"}

// String returns the kind's name in logs.
func (k Kind) String() string {
	return kindNames[k]
}

// Priority is a rank, 0 the highest.
type Priority int

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service dotterelpulley.ServiceID
	Weight  float64
}

// Route tells where requests of one path prefix go and what their callers expect.
type Route struct {
	ID     dotterelpulley.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; zero means no limit.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, within which it is on time.
	Objective time.Duration
	// MaxEventInterval is the longest pause between events with which an answer is on time.
	MaxEventInterval time.Duration
	Priority         Priority
	Shares           []Share
	MaxAttempts      int
	// Public routes need no key.
	Public bool
	// Resumable streams go on at another endpoint after their last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is what a configuration says of a service.
type Service struct {
	ID dotterelpulley.ServiceID
	// MaxConnections bounds the connections that one endpoint accepts from all hosts together; zero means no limit.
	MaxConnections int
}

// CallerKey is the secret by which an organisation's callers are known.
type CallerKey string

// Organisation is what a configuration says of an organisation.
type Organisation struct {
	ID   dotterelpulley.OrganisationID
	Keys []CallerKey
	// Priority goes before the route's if HasPriority is set.
	Priority    Priority
	HasPriority bool
	// Rate and Burst bound the organisation's use over all hosts, in tokens or requests; no limit if both are zero.
	Rate  float64
	Burst float64
	// InTokens tells that Rate and Burst count tokens rather than requests.
	InTokens bool
	// DefaultTokens is what a request without token counts uses where InTokens is set.
	DefaultTokens dotterelpulley.Tokens
}

// HasCap reports whether the organisation has a usage cap.
func (o *Organisation) HasCap() bool {
	return o.Rate > 0 || o.Burst > 0
}

// Configuration is one version of all that operators say.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// BodyBytes bounds the body of a request; no limit if zero.
	BodyBytes int64
}
