package entry

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// maxRetryAfterFraction is the largest retry delay as a fraction of a request's remaining time, so that the retry can
// still be served.
const maxRetryAfterFraction = 0.5

// capRetryAfter returns the refusal with a retry delay that leaves the request enough time before its deadline.
func capRetryAfter(r *dotterelpulley.Refusal, now, deadline time.Time) *dotterelpulley.Refusal {
	latest := time.Duration(maxRetryAfterFraction * float64(deadline.Sub(now)))
	if latest <= 0 || r.RetryAfter <= latest {
		return r
	}
	capped := *r
	capped.RetryAfter = latest
	return &capped
}
