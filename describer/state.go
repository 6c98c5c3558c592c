package describer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Host is what a gateway believes at a moment.
type Host struct {
	ID    dotterelpulley.HostID
	Zone  dotterelpulley.ZoneID
	State string
	// Configuration is the version in force; Proved is how long ago it was shown to be the newest.
	Configuration int64
	Proved        time.Duration
	// Reads tells that the host reads the store itself, StoreLost that it has tried to and failed.
	Reads     bool
	StoreLost bool
	Members   []Member
	Endpoints []Endpoint
	Caps      []Cap
}

// Member is another host.
type Member struct {
	ID    dotterelpulley.HostID
	Zone  dotterelpulley.ZoneID
	State string
	// Heard is the age of its last word.
	Heard         time.Duration
	Configuration int64
}

// Endpoint is an endpoint with the load that it is taken to have.
type Endpoint struct {
	ID      dotterelpulley.EndpointID
	Service dotterelpulley.ServiceID
	Address dotterelpulley.Address
	State   string
	Slots   int
	// Running are this host's runs, Others those of the other hosts by their last words.
	Running int
	Others  int
	// Unread is the number of prompt tokens that it has yet to read.
	Unread dotterelpulley.Tokens
	// Pace is the time between two events, Reading that per prompt token; zero if not learned.
	Pace    time.Duration
	Reading time.Duration
	// Barred is how much longer it gets nothing.
	Barred time.Duration
}

// Cap is an organisation's cap, in its unit.
type Cap struct {
	Organisation dotterelpulley.OrganisationID
	// Level may be used at once; Used of Allowed has been used in the window.
	Level   float64
	Used    float64
	Allowed float64
}
