// Package picker chooses the endpoint that a request runs on.
//
// Load reports are late, missing or wrong, so it corrects them by its own sends
// and by the latencies that it sees, and compares a few seeded random candidates
// so that hosts with the same reports don't all choose the same endpoint. The
// picker is a pure state machine: the caller hands in events and the time.
package picker
