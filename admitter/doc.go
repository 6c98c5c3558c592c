// Package admitter decides which waiting request runs next and which is refused.
//
// Each service has a queue a tier. Higher tiers go first, organisations share a
// tier by weight, and refusals start at the lowest tier. The admitter is a pure
// state machine: the caller hands in events and the time.
package admitter
