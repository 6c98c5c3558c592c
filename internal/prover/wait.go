package prover

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

const defaultCheckInterval = 10 * time.Millisecond

// Patience is how long and how often a condition is checked.
type Patience struct {
	Limit time.Duration
	// Every is the time between two checks; 10 ms if zero.
	Every time.Duration
}

// Until waits until the condition holds; after the timeout it returns an error that names the condition.
func Until(ctx context.Context, p Patience, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	ticker := time.NewTicker(cmp.Or(p.Every, defaultCheckInterval))
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("waited %s in vain: %s", p.Limit, what)
		}
	}
	return nil
}
