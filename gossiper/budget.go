package gossiper

import "time"

const (
	defaultBytesPerSecond = 4096
	// ownShare is the part of the budget for what this host sends; the rest is for what it gets.
	ownShare = 0.5
	// burstTime is the time over which unused budget adds up.
	burstTime = 4 * time.Second
	// maxMessage and minMessage bound a message that carries no critical news.
	maxMessage = 512
	// maxOverdraw bounds how far critical facts may go beyond the room of one message.
	maxOverdraw = 2 * maxMessage
	// maxDebt bounds how far critical news may overdraw the budget.
	maxDebt    = 16 << 10
	minMessage = 200
)

// budget is a token bucket of bytes that may run into debt for critical news.
type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) refill(now time.Time, perSecond float64) {
	if b.at.IsZero() {
		b.tokens = perSecond
	} else {
		b.tokens += now.Sub(b.at).Seconds() * perSecond
	}
	b.at = now
	b.tokens = min(b.tokens, perSecond*burstTime.Seconds())
}

// message returns how large the next ordinary message may be.
func (b *budget) message() int {
	return int(min(maxMessage, max(minMessage, b.tokens/2)))
}

func (b *budget) spend(bytes int) {
	b.tokens = max(b.tokens-float64(bytes+CallOverhead), -maxDebt)
}
