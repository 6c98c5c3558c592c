// Package picker chooses the endpoint that a request runs on.
//
// Load reports are late, missing or wrong, so it corrects them by the requests
// that it sent itself and the latencies that it observed, and compares a few
// random candidates, so that hosts with the same reports don't all choose the
// same endpoint. The picker is a pure state machine: it takes events and the time.
package picker
