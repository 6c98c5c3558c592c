package soaker

import (
	"slices"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/router"
)

// AttemptID identifies one request of a caller, which may send it again after a refusal.
type AttemptID string

// Sent is one send of a caller's request and the response to it.
type Sent struct {
	AttemptID AttemptID
	// Resend is the number of sends of the same request before this one.
	Resend int
	Route  dotterelpulley.RouteID
	Key    router.CallerKey
	// Host is the host that received the request; Start numbers its process.
	Host    dotterelpulley.HostID
	Start   int
	SentAt  time.Time
	EndedAt time.Time
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Status is zero without a response.
	Status int
	// Signed reports whether the response carries an endpoint's signature.
	Signed bool
	// Completed reports whether the response was read to its end; Body is that of a plain response, Events the event
	// numbers of a stream.
	Completed bool
	Body      string
	Events    []int
	// Withdrawn reports whether the soak ended before the response did.
	Withdrawn bool
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	AttemptID AttemptID
	// Resend tells which send of the request has arrived.
	Resend       int
	Endpoint     dotterelpulley.EndpointID
	Service      dotterelpulley.ServiceID
	Organisation dotterelpulley.OrganisationID
	// Version is the configuration version that the host used; 0 if the organisation does not carry it.
	Version int64
	At      time.Time
	// Executed reports whether the endpoint executed the request; KeyForwarded whether it received the caller's key.
	Executed     bool
	KeyForwarded bool
	// RefusedBefore reports whether the endpoint had refused the request on the same connection, and wrote that refusal once more.
	RefusedBefore bool
	// EndedAt is when the endpoint stopped working on the request; zero if it hadn't by the soak's end.
	EndedAt time.Time
}

// Revocation is the removal of a key from the configuration.
type Revocation struct {
	Key router.CallerKey
	At  time.Time
}

// Drain is the start of an endpoint's drain.
type Drain struct {
	Endpoint dotterelpulley.EndpointID
	At       time.Time
}

// Trouble is the start of a fault at an endpoint or on the way to it.
type Trouble struct {
	Endpoint dotterelpulley.EndpointID
	At       time.Time
}

// Disturbance is a period in which a fault affected hosts or their connections to the store, or the soak stalled.
type Disturbance struct {
	Name string
	From time.Time
	To   time.Time
}

// Observations are everything that callers and endpoints observed in one soak.
type Observations struct {
	Sent         []Sent
	Arrivals     []Arrival
	Revocations  []Revocation
	Drains       []Drain
	Disturbances []Disturbance
	Troubles     []Trouble
	// Recovered is when all hosts were ready again after the last fault, or when the wait for that timed out.
	Recovered time.Time
}

// ledger collects observations.
type ledger struct {
	mutex        sync.Mutex
	observations Observations
	// arrived holds the requests that have reached an endpoint.
	arrived map[AttemptID]bool
}

// record adds to the observations.
func (l *ledger) record(add func(o *Observations)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	add(&l.observations)
}

// recordArrival adds an arrival and returns the function that records the end of the endpoint's work on it. repeated reports whether
// the request had arrived before.
func (l *ledger) recordArrival(a Arrival) (repeated bool, end func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	repeated = l.arrived[a.AttemptID]
	if l.arrived == nil {
		l.arrived = map[AttemptID]bool{}
	}
	l.arrived[a.AttemptID] = true
	index := len(l.observations.Arrivals)
	l.observations.Arrivals = append(l.observations.Arrivals, a)
	return repeated, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.observations.Arrivals[index].EndedAt = time.Now()
	}
}

// count returns the number of finished requests.
func (l *ledger) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.observations.Sent)
}

// finish returns the observations after the last one was recorded.
func (l *ledger) finish(recovered time.Time) Observations {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.observations.Recovered = recovered
	o := l.observations
	// Runs that go on are recorded in the original.
	o.Arrivals = slices.Clone(o.Arrivals)
	return o
}
