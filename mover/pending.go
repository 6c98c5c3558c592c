package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// pending is the one append whose result is not yet known.
type pending struct {
	append      Append
	sentAt      time.Time
	failedAt    time.Time
	backoff     time.Duration
	outstanding bool
}

func (p *pending) begin(a Append, now time.Time) {
	*p = pending{append: a, sentAt: now, backoff: minRetryDelay, outstanding: true}
}

// recordAnswer records that the append returned an error, after which the record may or may not be on the log.
func (p *pending) recordAnswer(id recorder.RecordID, now time.Time, err error) {
	if p.outstanding && p.append.Envelope.ID == id && err != nil {
		p.failedAt = now
	}
}

// settle reports whether a verdict read from the log is on the pending record, which is no longer pending then.
func (p *pending) settle(v recorder.Verdict) bool {
	if !p.outstanding || v.ID != p.append.Envelope.ID {
		return false
	}
	p.outstanding = false
	return true
}

// retryDue reports whether to send the record again: the streams were read to their end after the failure without finding it.
func (p *pending) retryDue(now, caughtUp time.Time) bool {
	if p.failedAt.IsZero() || !caughtUp.After(p.failedAt.Add(p.backoff)) {
		return false
	}
	p.failedAt = time.Time{}
	p.sentAt = now
	p.backoff = min(2*p.backoff, maxRetryDelay)
	return true
}
