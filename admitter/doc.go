// Package admitter decides which waiting request runs next and which is refused.
//
// Each service has one queue per tier. Higher tiers go first, organisations share
// a tier by weight, and refusals start at the lowest tier. The admitter is a pure
// state machine: it takes events and the time and returns decisions.
package admitter
