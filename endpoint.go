package dotterelpulley

import "fmt"

// EndpointID identifies an endpoint, which is a server of one service.
type EndpointID string

// EndpointState is the state of an endpoint in the host list.
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

// Endpoint is a server of a service, as listed in the host list.
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
	for _, loaded := range e.Versions {
		if loaded == v {
			return true
		}
	}
	return false
}
