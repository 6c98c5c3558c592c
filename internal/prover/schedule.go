package prover

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Schedule is what was done to the system and when, for the report of a failure.
type Schedule struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// Note adds what is being done.
func (s *Schedule) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start.IsZero() {
		s.start = time.Now()
	}
	at := time.Since(s.start).Round(time.Millisecond)
	s.lines = append(s.lines, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

// String returns what was done, a line each.
func (s *Schedule) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}
