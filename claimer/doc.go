// Package claimer decides which host may dispatch a request, so that no key
// is dispatched twice, and whether a refusal may state that the request has not run.
//
// Claimer is a pure state machine: it takes events and the time and returns actions,
// which its driver, the code that calls Step, carries out.
package claimer
