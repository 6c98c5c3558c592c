package scheduler

import "github.com/dotterelpulley/dotterelpulley"

// HostReport is what one host tells the others of itself.
type HostReport struct {
	Loads   []Load
	Waiting []WaitingCount
	// DeadEndpoints are the short names of endpoints that refuse the host's connections, as after a crash.
	DeadEndpoints []uint32
}

// Load is what a host runs on one endpoint.
type Load struct {
	Key     uint32
	Running int
	// Prompt is the number of tokens of runs that have no first event yet.
	Prompt dotterelpulley.Tokens
}
