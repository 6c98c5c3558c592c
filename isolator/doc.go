// Package isolator detects requests that crash the endpoints they run on, so that every host refuses them.
//
// Isolator is a pure state machine. Its set of crashes only grows until they expire, so hosts can merge their sets.
package isolator
