package drainer

import "time"

// AdmissionTime is how long after its start a drain admits all requests; later ones only if they end in time.
const AdmissionTime = 2500 * time.Millisecond

// Drain is a drain that has started.
type Drain struct {
	StartedAt time.Time
	// EndsAt is when the requests that still run are ended.
	EndsAt time.Time
}

// Admits reports whether a request with the deadline may start: callers that keep their connections, or the directory's answer,
// send until the host has ended, and what outlasts it is cut with an outcome that nobody knows.
func (d Drain) Admits(now, deadline time.Time) bool {
	return now.Sub(d.StartedAt) <= AdmissionTime || !deadline.After(d.EndsAt)
}
