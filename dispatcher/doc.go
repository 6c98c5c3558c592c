// Package dispatcher decides what follows each attempt at an endpoint: ending the request, resuming the same run, or
// trying another endpoint.
//
// Dispatcher is a pure state machine for one admitted request.
package dispatcher
