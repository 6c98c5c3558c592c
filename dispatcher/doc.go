// Package dispatcher decides what follows each attempt at an endpoint: the end, the same run resumed, or another
// endpoint.
//
// Dispatcher is a pure state machine of one request's life after it was admitted.
package dispatcher
