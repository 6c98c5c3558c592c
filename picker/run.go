package picker

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Outcome is how a run on an endpoint ended.
type Outcome int

// The outcomes of a run.
const (
	RunCompleted Outcome = iota
	// RunFailed means that the endpoint failed during the run.
	RunFailed
	// RunNotAdmitted means that the endpoint refused the attempt before it started.
	RunNotAdmitted
	// RunCancelled means that this side ended the run.
	RunCancelled
)

// Result describes a run that has ended.
type Result struct {
	Outcome Outcome
	// Started means that FirstToken was called for the run.
	Started       bool
	Tokens        dotterelpulley.Tokens
	BetweenTokens time.Duration
}

// Sent records that a request has been sent to its choice.
func (p *Picker) Sent(now time.Time, c Choice) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.ownInflight++
	e.ownPrefill += c.Prefill
	e.ownHistory.record(now, e.ownInflight)
	for _, hash := range c.prefixes {
		p.prefixes.add(now, hash, p.indexes[c.Endpoint])
	}
}

// FirstToken records the time from a run's dispatch to its first token.
func (p *Picker) FirstToken(c Choice, elapsed time.Duration) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.ownPrefill = math.Max(0, e.ownPrefill-c.Prefill)
	if c.Prefill >= minPrefillTokens {
		updateMean(&e.prefill, elapsed.Seconds()/(c.Prefill+c.ahead))
	}
}

// Ended records the end of a run.
func (p *Picker) Ended(now time.Time, c Choice, r Result) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.ownInflight = max(0, e.ownInflight-1)
	e.ownHistory.record(now, e.ownInflight)
	if !r.Started {
		e.ownPrefill = math.Max(0, e.ownPrefill-c.Prefill)
	}
	switch r.Outcome {
	case RunCompleted:
		e.failures = 0
		e.observeGap(r.BetweenTokens, c.Inflight+1)
		p.Learn(c.RouteKey, r.Tokens)
	case RunFailed:
		e.recordFailure(now)
	case RunNotAdmitted:
		e.suspectUntil(now.Add(refusalPause))
	case RunCancelled:
		e.observeGap(r.BetweenTokens, c.Inflight+1)
	}
}
