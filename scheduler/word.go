package scheduler

import "github.com/dotterelpulley/dotterelpulley"

// Word is what one host tells the others of itself.
type Word struct {
	Loads   []Load
	Waiting []Waiting
	// Dead are the short names of endpoints that refuse the host's connections, as after a crash.
	Dead []uint32
}

// Load is what a host runs on one endpoint.
type Load struct {
	Key     uint32
	Running int
	// Prompt is the number of tokens of runs that have no first event yet.
	Prompt dotterelpulley.Tokens
}
