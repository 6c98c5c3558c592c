// Package mover carries out release notes: it loads a version, gives it a canary share of the
// requests, shifts the rest in steps, and completes each move or rolls it back by its deadline.
//
// One host at a time is active, by a lease on the moves stream. The state of a move
// is kept on the log alone, so that a host that takes over needs nothing else.
package mover
