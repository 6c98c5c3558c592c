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
func (l *ActionLog) RecordAction(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.start.IsZero() {
		l.start = time.Now()
	}
	at := time.Since(l.start).Round(time.Millisecond)
	l.lines = append(l.lines, fmt.Sprintf("%8s %s", at, fmt.Sprintf(format, args...)))
}

// String returns one action per line.
func (l *ActionLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}
