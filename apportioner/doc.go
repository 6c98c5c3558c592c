// Package apportioner divides what an endpoint takes from all hosts together among some of them: the rate that an endpoint
// has named as its limit, and the places of an endpoint that fails when it is overfilled.
//
// The hosts agree without messages by ranking themselves for each endpoint, and each holds its own share by itself.
// Apportioner is a pure state machine: it takes observations, the other hosts' reports and the time.
package apportioner
