// Package limiter learns how many requests an endpoint runs well at once, and
// bounds the retries of each service.
//
// Every entry host learns the same limit from the gaps and first tokens that it
// sees, so the hosts share an endpoint without talking. Both types are pure:
// the caller hands in events and the time.
package limiter
