package limiter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultRetryRatio = 0.1
	defaultBurst      = 10
	// retriesPerSecond is the base rate of retries, for a service with little traffic.
	retriesPerSecond = 0.5
)

// RetryBudget limits the retries of each service in proportion to its requests; the zero value is ready to use.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request; 0.1 if zero.
	Ratio float64
	// Burst bounds the accumulated retries; 10 if zero.
	Burst float64
	// PerSecond is the number of retries per second allowed in addition to Ratio; 0.5 if zero, none if negative.
	PerSecond float64

	services map[dotterelpulley.ServiceID]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

func (b *RetryBudget) bucket(now time.Time, id dotterelpulley.ServiceID) *bucket {
	if b.services == nil {
		b.services = map[dotterelpulley.ServiceID]*bucket{}
	}
	s, ok := b.services[id]
	if !ok {
		s = &bucket{tokens: b.burst(), at: now}
		b.services[id] = s
	}
	s.tokens = min(b.burst(), s.tokens+max(now.Sub(s.at).Seconds(), 0)*b.perSecond())
	s.at = now
	return s
}

func (b *RetryBudget) perSecond() float64 {
	if b.PerSecond == 0 {
		return retriesPerSecond
	}
	return max(b.PerSecond, 0)
}

func (b *RetryBudget) burst() float64 {
	if b.Burst > 0 {
		return b.Burst
	}
	return defaultBurst
}

// Deposit credits the service with one request.
func (b *RetryBudget) Deposit(now time.Time, id dotterelpulley.ServiceID) {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	s := b.bucket(now, id)
	s.tokens = min(b.burst(), s.tokens+ratio)
}

// Withdraw takes one retry out of the service's budget and reports whether it had one.
func (b *RetryBudget) Withdraw(now time.Time, id dotterelpulley.ServiceID) bool {
	s := b.bucket(now, id)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Available returns the retries that each service with requests has left.
func (b *RetryBudget) Available(now time.Time) map[dotterelpulley.ServiceID]float64 {
	available := make(map[dotterelpulley.ServiceID]float64, len(b.services))
	for id := range b.services {
		available[id] = b.bucket(now, id).tokens
	}
	return available
}

// Allows reports whether the service's budget has a retry left.
func (b *RetryBudget) Allows(now time.Time, id dotterelpulley.ServiceID) bool {
	return b.bucket(now, id).tokens >= 1
}
