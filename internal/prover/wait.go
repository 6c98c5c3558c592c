package prover

import (
	"cmp"
	"context"
	"fmt"
	"time"
)

const checkEvery = 10 * time.Millisecond

// Patience is how long and how often a condition is looked at.
type Patience struct {
	Limit time.Duration
	// Every is the time between two looks; 10 ms if zero.
	Every time.Duration
}

// Until waits until the condition holds; the error of one that never does says what was awaited.
func Until(ctx context.Context, p Patience, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	tick := time.NewTicker(cmp.Or(p.Every, checkEvery))
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("waited %s in vain: %s", p.Limit, what)
		}
	}
	return nil
}
