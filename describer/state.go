package describer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Host is the state of a gateway at one time, as the gateway sees it.
type Host struct {
	ID    dotterelpulley.HostID
	Zone  dotterelpulley.ZoneID
	State string
	// Configuration is the version in use; SinceConfirmed is the time since it was last confirmed to be the newest.
	Configuration  int64
	SinceConfirmed time.Duration
	// ReadsStore reports whether the host reads the store itself, StoreLost whether it tried to and failed.
	ReadsStore bool
	StoreLost  bool
	Members    []Member
	Endpoints  []Endpoint
	Caps       []Cap
	// RetryBudgets are the host's parts of the services' retry budgets.
	RetryBudgets []RetryBudget
}

// Member is another host.
type Member struct {
	ID    dotterelpulley.HostID
	Zone  dotterelpulley.ZoneID
	State string
	// SinceHeard is the time since its last message.
	SinceHeard    time.Duration
	Configuration int64
}

// Endpoint is an endpoint with the load that the gateway assumes.
type Endpoint struct {
	ID      dotterelpulley.EndpointID
	Service dotterelpulley.ServiceID
	Address dotterelpulley.Address
	State   string
	Slots   int
	// Running counts the requests that this host runs there, PeerRunning those of the other hosts according to their last reports.
	Running     int
	PeerRunning int
	// PendingPrompt is the number of prompt tokens that still wait for prefill.
	PendingPrompt dotterelpulley.Tokens
	// EventInterval is the time between two events, PrefillPerToken the prefill time per prompt token; zero if not yet measured.
	EventInterval   time.Duration
	PrefillPerToken time.Duration
	// BlockedFor is the remaining time in which it is sent no requests.
	BlockedFor time.Duration
}

// RetryBudget is the number of repeats that a host may send to a service's endpoints at once, and the most that it saves up.
type RetryBudget struct {
	Service   dotterelpulley.ServiceID
	Available float64
	Burst     float64
}

// Cap is an organisation's rate cap, in the cap's unit.
type Cap struct {
	Organisation dotterelpulley.OrganisationID
	// Level is the amount available at once; Used is the usage in the current window, out of Allowed.
	Level   float64
	Used    float64
	Allowed float64
}
