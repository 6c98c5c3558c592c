// Package mover carries out release notes: it loads, gives a canary share,
// shifts in steps, and completes each move or takes it back by its deadline.
//
// One host is active by a lease on the moves stream. What the state of a move
// is stands on the log alone, so that a host that takes over needs nothing else.
package mover
