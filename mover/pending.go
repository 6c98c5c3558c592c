package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// pending is the one append whose fate is not yet known.
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

// answer notes that the append's answer was an error, after which the record may or may not be there.
func (p *pending) answer(id recorder.RecordID, now time.Time, err error) {
	if p.live && p.append.Envelope.ID == id && err != nil {
		p.failed = now
	}
}

// settle takes a verdict that was read back and reports whether it is on the pending record.
func (p *pending) settle(v recorder.Verdict) bool {
	if !p.live || v.ID != p.append.Envelope.ID {
		return false
	}
	p.live = false
	return true
}

// again reports whether the record is surely not there: the streams were read to their end after the failure.
func (p *pending) again(now, caughtUp time.Time) bool {
	if p.failed.IsZero() || !caughtUp.After(p.failed.Add(p.backoff)) {
		return false
	}
	p.failed = time.Time{}
	p.sent = now
	p.backoff = min(2*p.backoff, lastRetry)
	return true
}
