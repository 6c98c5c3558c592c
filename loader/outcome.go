package loader

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Outcome is what became of one send.
type Outcome int

// The outcomes of a send.
const (
	// OutcomeUnreachable means that no connection was made, so nothing was sent.
	OutcomeUnreachable Outcome = iota
	OutcomeWhole
	OutcomeRefused
	// OutcomeCut means that the answer ended without an end mark or an error.
	OutcomeCut
	// OutcomeWrong means an answer that claims to be whole and is not.
	OutcomeWrong
	OutcomeTimedOut
)

var outcomeNames = [...]string{"unreachable", "whole", "refused", "cut", "wrong", "timed-out"}

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome-%d", int(o))
	}
	return outcomeNames[o]
}

// Refused is what a refusal says.
type Refused struct {
	Kind       dotterelpulley.ErrorKind
	Truth      dotterelpulley.Truth
	RetryAfter time.Duration
}

// Send is one send of a request with its answer; its times count from the arrival.
type Send struct {
	Entry      dotterelpulley.Address
	Outcome    Outcome
	Refused    Refused
	Sent       time.Duration
	FirstToken time.Duration
	Ended      time.Duration
	// Gaps are the times between tokens of a streamed answer.
	Gaps    []time.Duration
	Digest  Digest
	Version dotterelpulley.VersionID
	Fault   string
}

// NotRun reports whether the caller knows from this send alone that it started no run.
func (s Send) NotRun() bool {
	switch s.Outcome {
	case OutcomeUnreachable:
		return true
	case OutcomeRefused:
		return s.Refused.Truth == dotterelpulley.NotRun
	case OutcomeWhole, OutcomeCut, OutcomeWrong, OutcomeTimedOut:
		return false
	}
	return false
}

// Result is an arrival with all its sends, in the order in which they ended.
type Result struct {
	Arrival Arrival
	Sends   []Send
}

// Whole returns the send that ended first with a whole answer.
func (r Result) Whole() (Send, bool) {
	for _, s := range r.Sends {
		if s.Outcome == OutcomeWhole {
			return s, true
		}
	}
	return Send{}, false
}

// Final returns the first whole answer, or else the last send.
func (r Result) Final() Send {
	if s, ok := r.Whole(); ok {
		return s
	}
	if len(r.Sends) == 0 {
		return Send{}
	}
	return r.Sends[len(r.Sends)-1]
}

// NotRun reports whether every send was told, or knows, that nothing has run.
func (r Result) NotRun() bool {
	for _, s := range r.Sends {
		if !s.NotRun() {
			return false
		}
	}
	return len(r.Sends) > 0
}

// Answered reports whether the caller ended with a whole answer or a refusal.
func (r Result) Answered() bool {
	final := r.Final().Outcome
	return final == OutcomeWhole || final == OutcomeRefused
}
