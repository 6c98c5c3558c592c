package soaker

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/router"
)

// Attempt names one try of a caller.
type Attempt string

// Sent is one try of a caller and what it got.
type Sent struct {
	Attempt Attempt
	Route   dotterelpulley.RouteID
	Key     router.CallerKey
	// Host and Start are the host that was asked, and which start of it.
	Host  dotterelpulley.HostID
	Start int
	At    time.Time
	Ended time.Time
	// Status is zero if no answer came.
	Status int
	// Signed tells that the answer is an endpoint's.
	Signed bool
	// Whole tells that the answer came to its end; Body is what came of a plain one, Events the numbers of a stream's.
	Whole  bool
	Body   string
	Events []int
}

// Arrival is a request that reached an endpoint.
type Arrival struct {
	Attempt      Attempt
	Endpoint     dotterelpulley.EndpointID
	Service      dotterelpulley.ServiceID
	Organisation dotterelpulley.OrganisationID
	// Version is the configuration by which a host handled it; 0 if the organisation doesn't tell.
	Version int64
	At      time.Time
	// Ran tells that the endpoint ran it; KeyPassed that it got the caller's key.
	Ran       bool
	KeyPassed bool
}

// Revocation is a key that a configuration took away.
type Revocation struct {
	Key router.CallerKey
	At  time.Time
}

// Leave is an endpoint that said it leaves.
type Leave struct {
	Endpoint dotterelpulley.EndpointID
	At       time.Time
}

// Trouble is a span in which a fault was at work on hosts or their ways to the store.
type Trouble struct {
	Name string
	From time.Time
	To   time.Time
}

// Observed is all that callers and endpoints saw of one soak.
type Observed struct {
	Sent        []Sent
	Arrivals    []Arrival
	Revocations []Revocation
	Leaves      []Leave
	Troubles    []Trouble
	// Recovered is when, after the last fault, all hosts were ready again or the time for it had passed.
	Recovered time.Time
}

// ledger collects what is observed.
type ledger struct {
	mutex sync.Mutex
	seen  Observed
}

// note adds to what is observed.
func (l *ledger) note(add func(o *Observed)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	add(&l.seen)
}

// count returns how many requests have ended.
func (l *ledger) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.seen.Sent)
}

// observed returns what was seen, when nothing is added any more.
func (l *ledger) observed(recovered time.Time) Observed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen.Recovered = recovered
	return l.seen
}
