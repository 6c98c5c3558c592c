package limiter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultBetweenTokens = 41 * time.Millisecond
	defaultFirstToken    = 740 * time.Millisecond
	defaultInitial       = 8
	defaultMaxLimit      = 256
	// initialShare is the fraction of its slots that an endpoint may use before its first sample.
	initialShare = 0.35
	// gapMargin is the fraction of the target gap at which a limit stops growing.
	gapMargin = 0.85
	// backoffFactor is applied to a limit when the target is missed.
	backoffFactor = 0.9
	// minBackoffInterval is the minimum time between two reductions of one limit.
	minBackoffInterval = time.Second
	// growthFactor is the fraction of the difference to the fitting load by which one run raises a limit.
	growthFactor = 0.1
	// baseLoad is the load at which the gap is twice that of an idle engine.
	baseLoad = 24
	// sampleWeight is the weight of one sample in the moving averages.
	sampleWeight = 0.2
	// slowFirstToken is the ratio of first-token time to target from which the limit is reduced.
	slowFirstToken = 1.5
)

// Sample is the latency of one run and the load at which it was measured.
type Sample struct {
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean gap between tokens, zero if there was at most one.
	BetweenTokens time.Duration
	// Inflight is the estimated number of requests of all hosts on the endpoint.
	Inflight float64
	// Backlogged means that other requests were waiting, so that a higher limit would be used.
	Backlogged bool
}

// Limiter holds an adaptive concurrency limit for each endpoint; the zero value is ready to use.
type Limiter struct {
	// BetweenTokens is the target gap between tokens; 41 ms if zero.
	BetweenTokens time.Duration
	// FirstToken is the target time to the first token; 740 ms if zero.
	FirstToken time.Duration
	// Initial is the limit of an unknown endpoint; 8 if zero.
	Initial float64

	endpoints map[dotterelpulley.EndpointID]*state
}

type state struct {
	limit      float64
	slots      float64
	gap        time.Duration
	firstToken time.Duration
	// load is the mean load at which gap was measured.
	load    float64
	lastCut time.Time
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

// Limit returns how many requests of all hosts together the endpoint may run concurrently.
func (l *Limiter) Limit(id dotterelpulley.EndpointID) float64 {
	s, ok := l.endpoints[id]
	if !ok {
		return l.initial()
	}
	return s.limit
}

// SetSlots sets the batch size that the endpoint reports.
func (l *Limiter) SetSlots(id dotterelpulley.EndpointID, slots int) {
	s := l.state(id)
	if s.gap == 0 && s.slots == 0 {
		s.limit = max(s.limit, initialShare*float64(slots))
	}
	s.slots = float64(slots)
	s.limit = s.clamp(s.limit)
}

// Observe adjusts the endpoint's limit to a run and returns it.
func (l *Limiter) Observe(now time.Time, id dotterelpulley.EndpointID, sample Sample) float64 {
	s := l.state(id)
	s.gap = updateMean(s.gap, sample.BetweenTokens)
	s.firstToken = updateMean(s.firstToken, sample.FirstToken)
	s.load += sampleWeight * (sample.Inflight - s.load)
	target := orDefault(l.BetweenTokens, defaultBetweenTokens)
	firstTarget := orDefault(l.FirstToken, defaultFirstToken)
	missed := s.gap > target || s.firstToken > time.Duration(slowFirstToken*float64(firstTarget))
	nearTarget := s.gap > time.Duration(gapMargin*float64(target)) || s.firstToken > firstTarget
	switch {
	case missed && now.Sub(s.lastCut) >= minBackoffInterval:
		s.limit = s.clamp(max(min(s.limit, s.fittingLoad(target))*backoffFactor, s.limit/2))
		s.lastCut = now
	case !nearTarget && sample.Backlogged:
		s.limit = s.clamp(s.limit + max(1/s.limit, growthFactor*(s.fittingLoad(target)-s.limit)))
	}
	return s.limit
}

// Failed reduces the limit of an endpoint that refused or failed a run, and returns it.
func (l *Limiter) Failed(now time.Time, id dotterelpulley.EndpointID) float64 {
	s := l.state(id)
	if now.Sub(s.lastCut) >= minBackoffInterval {
		s.limit = s.clamp(s.limit * backoffFactor)
		s.lastCut = now
	}
	return s.limit
}

// Forget removes the state of the endpoint.
func (l *Limiter) Forget(id dotterelpulley.EndpointID) {
	delete(l.endpoints, id)
}

// fittingLoad returns the load at which the gap would reach gapMargin of the target.
func (s *state) fittingLoad(target time.Duration) float64 {
	if s.gap == 0 {
		return s.limit + 1
	}
	ratio := gapMargin * float64(target) / float64(s.gap)
	return (s.load+baseLoad)*ratio - baseLoad
}

func (s *state) clamp(limit float64) float64 {
	upper := s.slots
	if upper == 0 {
		upper = defaultMaxLimit
	}
	return max(1, min(limit, upper))
}

func updateMean(old, sample time.Duration) time.Duration {
	if sample <= 0 {
		return old
	}
	if old == 0 {
		return sample
	}
	return old + time.Duration(sampleWeight*float64(sample-old))
}
