package standin

import (
	"sync"
	"time"
)

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run; the outcome of an unfinished run is empty.
const (
	OutcomeRunning   Outcome = ""
	OutcomeCompleted Outcome = "whole"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeAborted   Outcome = "cut"
	OutcomeFailed    Outcome = "failed"
	OutcomeMoved     Outcome = "moved"
)

// Run is one execution of a request at an endpoint.
type Run struct {
	RequestID    string
	Key          string
	Version      string
	Endpoint     string
	Started      time.Time
	Ended        time.Time
	Outcome      Outcome
	Tokens       int
	CachedTokens int
	PromptTokens int
	// Prefilled is the number of prompt tokens that were computed, not taken from the cache.
	Prefilled int
	Digest    string
	// Continued marks a run that another endpoint started and handed over; it does not count as a start.
	Continued bool
}

// WastedPrefill returns the number of prompt tokens computed for a run that ended without completing or moving to another engine.
func (r Run) WastedPrefill() int {
	if r.Outcome == OutcomeCompleted || r.Outcome == OutcomeRunning || r.Outcome == OutcomeMoved {
		return 0
	}
	return r.Prefilled
}

// Ledger records the runs of an endpoint and survives its crashes; the zero value is empty.
type Ledger struct {
	mu   sync.Mutex
	runs []*Run
}

func (l *Ledger) start(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	return &r
}

func (l *Ledger) update(r *Run, change func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(r)
}

// Runs returns all runs in start order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, *r)
	}
	return runs
}

// CountStarts returns the number of starts by idempotency key.
func CountStarts(runs []Run) map[string]int {
	starts := map[string]int{}
	for _, r := range runs {
		if !r.Continued {
			starts[r.Key]++
		}
	}
	return starts
}

// DuplicateKeys returns the idempotency keys that were started more than once.
func DuplicateKeys(runs []Run) []string {
	var keys []string
	starts := map[string]int{}
	for _, r := range runs {
		if r.Continued {
			continue
		}
		starts[r.Key]++
		if starts[r.Key] == 2 {
			keys = append(keys, r.Key)
		}
	}
	return keys
}
