package loader

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Retry is a caller's rule for sending a request again under the same key.
type Retry struct {
	// Sends bounds the sends of one request; 4 if zero.
	Sends int
}

const (
	defaultSends = 4
	retryPause   = 100 * time.Millisecond
)

// Next tells whether to send again after n sends, and how long to wait first.
func (r Retry) Next(last Send, n int, within time.Duration) (time.Duration, bool) {
	wait, again := pause(last, n)
	if !again || n >= r.limit() || last.Ended+wait >= within {
		return 0, false
	}
	return wait, true
}

func (r Retry) limit() int {
	if r.Sends > 0 {
		return r.Sends
	}
	return defaultSends
}

// pause doubles the wait with each send, and keeps to what a refusal asks for.
func pause(last Send, n int) (time.Duration, bool) {
	backoff := retryPause << (n - 1)
	switch last.Outcome {
	case OutcomeWhole, OutcomeWrong:
		return 0, false
	case OutcomeUnreachable, OutcomeCut, OutcomeTimedOut:
		return backoff, true
	case OutcomeRefused:
		return max(backoff, last.Refused.RetryAfter), worthRetry(last.Refused.Kind)
	}
	return 0, false
}

func worthRetry(kind dotterelpulley.ErrorKind) bool {
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
