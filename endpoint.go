package dotterelpulley

import "fmt"

// EndpointID names an endpoint, a server of one service.
type EndpointID string

// EndpointState is what the host list says of an endpoint.
type EndpointState int

// The states of an endpoint.
const (
	EndpointLive EndpointState = iota
	EndpointLeaving
)

// String returns the state's name in the host list.
func (s EndpointState) String() string {
	switch s {
	case EndpointLive:
		return "live"
	case EndpointLeaving:
		return "leaving"
	}
	return fmt.Sprintf("endpoint-state-%d", int(s))
}

// Endpoint is a server of a service as the host list gives it.
type Endpoint struct {
	ID         EndpointID
	Service    ServiceID
	Address    Address
	Zone       ZoneID
	Generation Generation
	Versions   []VersionID
	State      EndpointState
}

// Serves reports whether the endpoint has the version loaded.
func (e Endpoint) Serves(v VersionID) bool {
	for _, have := range e.Versions {
		if have == v {
			return true
		}
	}
	return false
}
