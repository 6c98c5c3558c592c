package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
)

var errCallerLeft = errors.New("the caller left")

// caller is who waits for a request's answer, a requester or another host; watch must be called.
type caller struct {
	context.Context
	leftAt atomic.Pointer[time.Time]
}

// watch notes when the context ends, at which the caller has left, until the returned function is called.
func (c *caller) watch(ctx context.Context, m *metrics) (stop func()) {
	c.Context = ctx
	note := func() {
		now := time.Now()
		c.leftAt.Store(&now)
		m.Inc("callers-left")
	}
	withdraw := context.AfterFunc(ctx, note)
	return func() {
		// The request may end for the caller's leave before this has been noted.
		if withdraw() && c.left() {
			note()
		}
	}
}

// left reports whether nobody waits for the answer any more.
func (c *caller) left() bool {
	return c.Err() != nil
}

// permitSend returns an error if the caller has left, so that nobody waits for what would be sent.
func (c *caller) permitSend() error {
	if c.left() {
		return errCallerLeft
	}
	return nil
}

func callerLeftRefusal() *refusal {
	return newRefusal(dotterelpulley.ErrorCancelled, errCallerLeft.Error())
}

// onSent returns the function to call when the attempt's request is on its way; more, if not nil, is called too.
func (p *proxiedRequest) onSent(a attempt, more func()) func() {
	return func() {
		p.noteSent(a)
		if more != nil {
			more()
		}
	}
}

// noteSent counts and logs a request that was sent although its caller had left.
func (p *proxiedRequest) noteSent(a attempt) {
	leftAt := p.caller.leftAt.Load()
	if leftAt == nil {
		return
	}
	p.gateway.metrics.Inc("sends-without-caller")
	p.gateway.requestEvent(log.WarnLevel, "sent-without-caller", p.request).Str("endpoint", string(a.Endpoint.ID)).Str("peer", string(a.helper.ID)).
		Int("try", a.number).Dur("left-for", time.Since(*leftAt)).Dur("since-placed", time.Since(a.startedAt)).Msg("")
}
