package loader

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Retry is a caller's policy for sending a request again with the same idempotency key.
type Retry struct {
	// MaxSends is the maximum number of sends of one request; 4 if zero.
	MaxSends int
}

const (
	defaultMaxSends = 4
	initialBackoff  = 100 * time.Millisecond
)

// Next reports whether to send again after n sends, and the delay before doing so.
func (r Retry) Next(last Send, n int, timeout time.Duration) (time.Duration, bool) {
	wait, retry := backoff(last, n)
	if !retry || n >= r.maxSends() || last.EndedAt+wait >= timeout {
		return 0, false
	}
	return wait, true
}

func (r Retry) maxSends() int {
	if r.MaxSends > 0 {
		return r.MaxSends
	}
	return defaultMaxSends
}

// backoff doubles the delay with each send and never returns less than a refusal's RetryAfter.
func backoff(last Send, n int) (time.Duration, bool) {
	delay := initialBackoff << (n - 1)
	switch last.Outcome {
	case OutcomeCompleted, OutcomeWrong:
		return 0, false
	case OutcomeUnreachable, OutcomeTruncated, OutcomeTimedOut:
		return delay, true
	case OutcomeRefused:
		return max(delay, last.Refusal.RetryAfter), retryable(last.Refusal.Kind)
	}
	return 0, false
}

func retryable(kind dotterelpulley.ErrorKind) bool {
	switch kind {
	case dotterelpulley.ErrorShed,
		dotterelpulley.ErrorDeadlineUnreachable,
		dotterelpulley.ErrorNotReady,
		dotterelpulley.ErrorDraining,
		dotterelpulley.ErrorNoEndpoint,
		dotterelpulley.ErrorHolderUnreachable,
		dotterelpulley.ErrorOutcomeUnknown,
		dotterelpulley.ErrorCut:
		return true
	case dotterelpulley.ErrorInvalid,
		dotterelpulley.ErrorUnknownService,
		dotterelpulley.ErrorTooLarge,
		dotterelpulley.ErrorDeadlinePassed,
		dotterelpulley.ErrorIsolated,
		dotterelpulley.ErrorKeyReused,
		dotterelpulley.ErrorKeyExpired,
		dotterelpulley.ErrorRunFailed,
		dotterelpulley.ErrorCancelled,
		dotterelpulley.ErrorUnauthenticated:
		return false
	}
	return false
}
