// Package claimer decides which host may dispatch a request, so that no key
// is dispatched twice, and what a host may truthfully say of a request that it refuses.
//
// Claimer is a pure state machine: events and the time go in, actions come out.
package claimer
