// Package announcer tracks the membership of hosts that exchange digests several
// times a second, with their state, running requests and usage by organisation.
//
// Announcer is a pure state machine: the caller sends the digests to the targets
// that it returns and passes in those that arrive.
package announcer
