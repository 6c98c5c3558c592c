package prover

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

const defaultCheckInterval = 10 * time.Millisecond

// WaitOptions is how long and how often a condition is checked.
type WaitOptions struct {
	Timeout time.Duration
	// Interval is the time between two checks; 10 ms if zero.
	Interval time.Duration
}

// WaitUntil waits until the condition holds; after the timeout it returns an error that names the condition.
func WaitUntil(ctx context.Context, options WaitOptions, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	ticker := time.NewTicker(cmp.Or(options.Interval, defaultCheckInterval))
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("waited %s in vain: %s", options.Timeout, description)
		}
	}
	return nil
}
