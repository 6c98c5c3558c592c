package standin

import (
	"sync"
	"time"
)

// Outcome tells how a run ended.
type Outcome string

// The outcomes of a run; a run that goes on has none.
const (
	OutcomeRunning   Outcome = ""
	OutcomeWhole     Outcome = "whole"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeCut       Outcome = "cut"
	OutcomeFailed    Outcome = "failed"
	OutcomeMoved     Outcome = "moved"
)

// Run is one start of a request at an endpoint.
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
	// Prefilled counts the prompt's tokens that were worked through and not taken from the cache.
	Prefilled int
	Digest    string
	// Continued marks a run that another endpoint began and handed over: no start of its own.
	Continued bool
}

// WastedPrefill returns the prompt tokens that were worked through for nothing.
func (r Run) WastedPrefill() int {
	if r.Outcome == OutcomeWhole || r.Outcome == OutcomeRunning || r.Outcome == OutcomeMoved {
		return 0
	}
	return r.Prefilled
}

// Ledger keeps what ran at an endpoint, over its crashes; the zero value is empty.
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

// Runs returns all runs in the order of their starts.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, *r)
	}
	return runs
}

// Starts counts the runs by key.
func Starts(runs []Run) map[string]int {
	starts := map[string]int{}
	for _, r := range runs {
		if !r.Continued {
			starts[r.Key]++
		}
	}
	return starts
}

// Duplicates returns the keys that were started more than once.
func Duplicates(runs []Run) []string {
	var keys []string
	seen := map[string]int{}
	for _, r := range runs {
		if r.Continued {
			continue
		}
		seen[r.Key]++
		if seen[r.Key] == 2 {
			keys = append(keys, r.Key)
		}
	}
	return keys
}
