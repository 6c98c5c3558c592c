package limiter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultBetweenTokens = 41 * time.Millisecond
	defaultFirstToken    = 740 * time.Millisecond
	defaultInitial       = 8
	defaultMost          = 256
	// initialShare is the share of its slots that an endpoint without a sample may run.
	initialShare = 0.35
	// gapMargin is the share of the target at which a limit stops growing.
	gapMargin = 0.85
	// backOff is what a limit keeps when the target is missed.
	backOff = 0.9
	// backOffEvery is the least time between two cuts of one limit.
	backOffEvery = time.Second
	// growth is the part of the way to the fitting limit that one run takes a limit.
	growth = 0.1
	// baseLoad is the load that adds as much to a gap as an idle engine has.
	baseLoad = 24
	// sampleWeight is the weight of one sample in the means.
	sampleWeight = 0.2
	// slowPrefill is by how much the first token may miss its target before the limit is cut.
	slowPrefill = 1.5
)

// Sample is what one run showed of its endpoint.
type Sample struct {
	// FirstToken is the time from the dispatch to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean gap between tokens, zero if there was at most one.
	BetweenTokens time.Duration
	// Inflight is how many requests of all hosts the endpoint was taken to run.
	Inflight float64
	// Backlogged tells whether other requests waited for room, so that a higher limit would be used.
	Backlogged bool
}

// Limiter holds an adaptive concurrency limit for each endpoint; the zero value works.
type Limiter struct {
	// BetweenTokens is the gap between tokens to keep; 41 ms if zero.
	BetweenTokens time.Duration
	// FirstToken is the time to the first token to keep; 740 ms if zero.
	FirstToken time.Duration
	// Initial is the limit of an endpoint that nothing is known of; 8 if zero.
	Initial float64

	endpoints map[dotterelpulley.EndpointID]*state
}

type state struct {
	limit float64
	slots float64
	gap   time.Duration
	first time.Duration
	// load is the mean load at which gap was seen.
	load  float64
	cutAt time.Time
}

func (l *Limiter) state(id dotterelpulley.EndpointID) *state {
	if l.endpoints == nil {
		l.endpoints = map[dotterelpulley.EndpointID]*state{}
	}
	s, ok := l.endpoints[id]
	if !ok {
		s = &state{limit: l.initial()}
		l.endpoints[id] = s
	}
	return s
}

func (l *Limiter) initial() float64 {
	if l.Initial > 0 {
		return l.Initial
	}
	return defaultInitial
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Limit returns how many requests the endpoint may run at once for all hosts together.
func (l *Limiter) Limit(id dotterelpulley.EndpointID) float64 {
	s, ok := l.endpoints[id]
	if !ok {
		return l.initial()
	}
	return s.limit
}

// SetSlots tells how many requests the endpoint says that it batches.
func (l *Limiter) SetSlots(id dotterelpulley.EndpointID, slots int) {
	s := l.state(id)
	if s.gap == 0 && s.slots == 0 {
		s.limit = max(s.limit, initialShare*float64(slots))
	}
	s.slots = float64(slots)
	s.limit = s.bound(s.limit)
}

// Observe learns from a run and returns the endpoint's limit.
func (l *Limiter) Observe(now time.Time, id dotterelpulley.EndpointID, sample Sample) float64 {
	s := l.state(id)
	s.gap = mean(s.gap, sample.BetweenTokens)
	s.first = mean(s.first, sample.FirstToken)
	s.load += sampleWeight * (sample.Inflight - s.load)
	target := orDefault(l.BetweenTokens, defaultBetweenTokens)
	firstTarget := orDefault(l.FirstToken, defaultFirstToken)
	missed := s.gap > target || s.first > time.Duration(slowPrefill*float64(firstTarget))
	near := s.gap > time.Duration(gapMargin*float64(target)) || s.first > firstTarget
	switch {
	case missed && now.Sub(s.cutAt) >= backOffEvery:
		s.limit = s.bound(max(min(s.limit, s.fitting(target))*backOff, s.limit/2))
		s.cutAt = now
	case !near && sample.Backlogged:
		s.limit = s.bound(s.limit + max(1/s.limit, growth*(s.fitting(target)-s.limit)))
	}
	return s.limit
}

// Failed cuts the limit of an endpoint that refused or broke a run.
func (l *Limiter) Failed(now time.Time, id dotterelpulley.EndpointID) float64 {
	s := l.state(id)
	if now.Sub(s.cutAt) >= backOffEvery {
		s.limit = s.bound(s.limit * backOff)
		s.cutAt = now
	}
	return s.limit
}

// Forget drops what is known of the endpoint.
func (l *Limiter) Forget(id dotterelpulley.EndpointID) {
	delete(l.endpoints, id)
}

// fitting returns the load at which the gap would reach its margin below the target.
func (s *state) fitting(target time.Duration) float64 {
	if s.gap == 0 {
		return s.limit + 1
	}
	ratio := gapMargin * float64(target) / float64(s.gap)
	return (s.load+baseLoad)*ratio - baseLoad
}

func (s *state) bound(limit float64) float64 {
	most := s.slots
	if most == 0 {
		most = defaultMost
	}
	return max(1, min(limit, most))
}

func mean(old, sample time.Duration) time.Duration {
	if sample <= 0 {
		return old
	}
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}
