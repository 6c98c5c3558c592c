// Package isolator finds requests that crash the endpoints which run them, so that they are refused on every host.
//
// Isolator is a pure state machine. Its deaths only ever grow and are merged between hosts.
package isolator
