package prover

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ActionLog is a timestamped list of the test's actions on the system, printed when a test fails.
type ActionLog struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// RecordAction adds an action.
func (s *ActionLog) RecordAction(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start.IsZero() {
		s.start = time.Now()
	}
	at := time.Since(s.start).Round(time.Millisecond)
	s.lines = append(s.lines, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

// String returns one action per line.
func (s *ActionLog) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.lines, "\n")
}
