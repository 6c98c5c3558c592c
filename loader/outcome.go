package loader

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Outcome is the result of one send.
type Outcome int

// The outcomes of a send.
const (
	// OutcomeUnreachable means that the connection failed, so nothing was sent.
	OutcomeUnreachable Outcome = iota
	OutcomeCompleted
	OutcomeRefused
	// OutcomeTruncated means that the answer ended without an end event or an error.
	OutcomeTruncated
	// OutcomeWrong means that the answer claims to be complete but is not valid.
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

// Refusal is the content of a refusal.
type Refusal struct {
	Kind       dotterelpulley.ErrorKind
	Truth      dotterelpulley.Truth
	RetryAfter time.Duration
}

// Send is one send of a request and its answer; its times count from the arrival.
type Send struct {
	Entry      dotterelpulley.Address
	Outcome    Outcome
	Refusal    Refusal
	SentAt     time.Duration
	FirstToken time.Duration
	EndedAt    time.Duration
	// Gaps are the intervals between the chunks of a streamed answer.
	Gaps    []time.Duration
	Digest  Digest
	Version dotterelpulley.VersionID
	Fault   string
}

// NotRun reports whether this send alone shows the caller that it started no run.
func (s Send) NotRun() bool {
	switch s.Outcome {
	case OutcomeUnreachable:
		return true
	case OutcomeRefused:
		return s.Refusal.Truth == dotterelpulley.NotRun
	case OutcomeCompleted, OutcomeTruncated, OutcomeWrong, OutcomeTimedOut:
		return false
	}
	return false
}

// Result is an arrival and its sends, in the order in which they ended.
type Result struct {
	Arrival Arrival
	Sends   []Send
}

// Completed returns the first send that ended with a complete answer.
func (r Result) Completed() (Send, bool) {
	for _, s := range r.Sends {
		if s.Outcome == OutcomeCompleted {
			return s, true
		}
	}
	return Send{}, false
}

// Final returns the first send with a complete answer, or else the last send.
func (r Result) Final() Send {
	if s, ok := r.Completed(); ok {
		return s
	}
	if len(r.Sends) == 0 {
		return Send{}
	}
	return r.Sends[len(r.Sends)-1]
}

// NotRun reports whether every send shows that nothing has run.
func (r Result) NotRun() bool {
	for _, s := range r.Sends {
		if !s.NotRun() {
			return false
		}
	}
	return len(r.Sends) > 0
}

// Answered reports whether the final send got a complete answer or a refusal.
func (r Result) Answered() bool {
	final := r.Final().Outcome
	return final == OutcomeCompleted || final == OutcomeRefused
}
