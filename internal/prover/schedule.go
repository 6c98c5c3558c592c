package prover

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Schedule is a timestamped list of the test's actions on the system, printed when a test fails.
type Schedule struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// Note adds an action.
func (s *Schedule) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start.IsZero() {
		s.start = time.Now()
	}
	at := time.Since(s.start).Round(time.Millisecond)
	s.lines = append(s.lines, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

// String returns one action per line.
func (s *Schedule) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}
