package limiter

import (
	"math"
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

	// part replaces the fields above by the part of a limit over all hosts; nil if there is no such limit.
	part     *retryPart
	services map[dotterelpulley.ServiceID]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
	// reserved counts the retries that wait to be sent.
	reserved int
}

// allowance is what a bucket gets and keeps.
type allowance struct {
	ratio     float64
	perSecond float64
	// burst is what it keeps; what it gets beyond that from requests, up to one retry, decays with the lifetime.
	burst    float64
	lifetime time.Duration
}

func (b *RetryBudget) allowance() allowance {
	if b.part != nil {
		return b.part.allowance
	}
	a := allowance{ratio: b.Ratio, perSecond: max(b.PerSecond, 0), burst: b.Burst}
	if a.ratio == 0 {
		a.ratio = defaultRetryRatio
	}
	if b.PerSecond == 0 {
		a.perSecond = retriesPerSecond
	}
	if a.burst <= 0 {
		a.burst = defaultBurst
	}
	return a
}

func (b *RetryBudget) bucket(now time.Time, id dotterelpulley.ServiceID) *bucket {
	if b.services == nil {
		b.services = map[dotterelpulley.ServiceID]*bucket{}
	}
	a := b.allowance()
	s, ok := b.services[id]
	if !ok {
		s = &bucket{tokens: a.burst, at: now}
		if b.part != nil {
			// Another process of this host may have used its part just before this one started.
			s = &bucket{at: b.part.since}
		}
		b.services[id] = s
	}
	s.advance(now, a)
	return s
}

// advance brings the bucket up to the time.
func (s *bucket) advance(now time.Time, a allowance) {
	passed := max(now.Sub(s.at), 0)
	s.at = now
	s.tokens = min(s.tokens, s.room(a))
	if s.tokens > a.burst {
		s.tokens = a.burst + (s.tokens-a.burst)*math.Exp(-float64(passed)/float64(a.lifetime))
		return
	}
	s.tokens = min(max(a.burst-float64(s.reserved), s.tokens), s.tokens+passed.Seconds()*a.perSecond)
}

// room returns how many retries the bucket can hold. Reserved ones take room, as they may all be sent later at one time.
func (s *bucket) room(a allowance) float64 {
	return max(max(a.burst, 1)-float64(s.reserved), 0)
}

// Deposit credits the service with one request.
func (b *RetryBudget) Deposit(now time.Time, id dotterelpulley.ServiceID) {
	s, a := b.bucket(now, id), b.allowance()
	s.tokens = min(s.room(a), s.tokens+a.ratio)
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

// Reserve takes one retry out of the service's budget that is sent later, and reports whether it had one; Use or Return must follow.
func (b *RetryBudget) Reserve(now time.Time, id dotterelpulley.ServiceID) bool {
	if !b.Withdraw(now, id) {
		return false
	}
	b.services[id].reserved++
	return true
}

// Use ends a reservation whose retry is sent.
func (b *RetryBudget) Use(now time.Time, id dotterelpulley.ServiceID) {
	b.bucket(now, id).reserved--
}

// Return ends a reservation whose retry isn't sent.
func (b *RetryBudget) Return(now time.Time, id dotterelpulley.ServiceID) {
	s := b.bucket(now, id)
	s.reserved--
	s.tokens = min(s.room(b.allowance()), s.tokens+1)
}

// Available returns the retries that each service with requests has left.
func (b *RetryBudget) Available(now time.Time) map[dotterelpulley.ServiceID]float64 {
	available := make(map[dotterelpulley.ServiceID]float64, len(b.services))
	for id := range b.services {
		available[id] = b.bucket(now, id).tokens
	}
	return available
}

// MostSaved returns how many retries a service accumulates at most.
func (b *RetryBudget) MostSaved() float64 {
	return b.allowance().burst
}
