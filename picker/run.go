package picker

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Outcome tells how a run on an endpoint ended.
type Outcome int

// How a run on an endpoint ends.
const (
	RunCompleted Outcome = iota
	// RunFailed is a run that the endpoint failed.
	RunFailed
	// RunNotAdmitted is an attempt that the endpoint refused before it started.
	RunNotAdmitted
	// RunCancelled is a run that was ended from this side.
	RunCancelled
)

// Result is what a run showed.
type Result struct {
	Outcome Outcome
	// Started tells whether FirstToken was called for the run.
	Started       bool
	Tokens        dotterelpulley.Tokens
	BetweenTokens time.Duration
}

// Sent records that a request goes to its choice.
func (p *Picker) Sent(now time.Time, c Choice) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.own++
	e.ownPrefill += c.Prefill
	e.past.note(now, e.own)
	for _, hash := range c.prefixes {
		p.prefixes.add(now, hash, p.places[c.Endpoint])
	}
}

// FirstToken records how long after its dispatch a run showed its first token.
func (p *Picker) FirstToken(c Choice, elapsed time.Duration) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.ownPrefill = math.Max(0, e.ownPrefill-c.Prefill)
	if c.Prefill >= leastPrefill {
		learn(&e.prefill, elapsed.Seconds()/(c.Prefill+c.ahead))
	}
}

// Ended records the end of a run.
func (p *Picker) Ended(now time.Time, c Choice, r Result) {
	e := p.endpoint(c.Endpoint)
	if e == nil {
		return
	}
	e.own = max(0, e.own-1)
	e.past.note(now, e.own)
	if !r.Started {
		e.ownPrefill = math.Max(0, e.ownPrefill-c.Prefill)
	}
	switch r.Outcome {
	case RunCompleted:
		e.failures = 0
		e.seen(r.BetweenTokens, c.Inflight+1)
		p.Learn(c.RouteKey, r.Tokens)
	case RunFailed:
		e.fail(now)
	case RunNotAdmitted:
		e.suspectUntil(now.Add(refusalPause))
	case RunCancelled:
		e.seen(r.BetweenTokens, c.Inflight+1)
	}
}
