package gossiper

import "time"

const (
	defaultBytesPerSecond = 4096
	// sendFraction is the fraction of the budget for messages that this host sends; the rest is for those it receives.
	sendFraction = 0.5
	// burstDuration limits the unused budget that accumulates.
	burstDuration = 4 * time.Second
	// maxMessageBytes and minMessageBytes bound the size of a message without critical facts.
	maxMessageBytes = 512
	// maxCriticalOverrun bounds how far critical facts may exceed the size limit of one message.
	maxCriticalOverrun = 2 * maxMessageBytes
	// maxDebt bounds how far critical facts may overdraw the budget.
	maxDebt         = 16 << 10
	minMessageBytes = 200
)

// budget is a token bucket of bytes that may go into debt for critical facts.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

func (b *budget) refill(now time.Time, perSecond float64) {
	if b.refilledAt.IsZero() {
		b.tokens = perSecond
	} else {
		b.tokens += now.Sub(b.refilledAt).Seconds() * perSecond
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, perSecond*burstDuration.Seconds())
}

// maxMessageSize returns the size limit of the next message without critical facts.
func (b *budget) maxMessageSize() int {
	return int(min(maxMessageBytes, max(minMessageBytes, b.tokens/2)))
}

func (b *budget) spend(bytes int) {
	b.tokens = max(b.tokens-float64(bytes+CallOverhead), -maxDebt)
}
