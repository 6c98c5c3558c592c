// Package isolator detects requests that crash the endpoints they run on, so that every host refuses them.
//
// Isolator is a pure state machine. It only adds crashes until they expire, so hosts can merge their sets.
package isolator
