package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// pending is the one append whose result is not yet known.
type pending struct {
	append  Append
	sent    time.Time
	failed  time.Time
	backoff time.Duration
	live    bool
}

func (p *pending) begin(a Append, now time.Time) {
	*p = pending{append: a, sent: now, backoff: firstRetry, live: true}
}

// answer records that the append returned an error, after which the record may or may not be on the log.
func (p *pending) answer(id recorder.RecordID, now time.Time, err error) {
	if p.live && p.append.Envelope.ID == id && err != nil {
		p.failed = now
	}
}

// settle reports whether a verdict read from the log is on the pending record, which is no longer pending then.
func (p *pending) settle(v recorder.Verdict) bool {
	if !p.live || v.ID != p.append.Envelope.ID {
		return false
	}
	p.live = false
	return true
}

// again reports whether to send the record again: the streams were read to their end after the failure without finding it.
func (p *pending) again(now, caughtUp time.Time) bool {
	if p.failed.IsZero() || !caughtUp.After(p.failed.Add(p.backoff)) {
		return false
	}
	p.failed = time.Time{}
	p.sent = now
	p.backoff = min(2*p.backoff, lastRetry)
	return true
}
