package prover

import (
	"context"
	"fmt"
	"time"
)

const checkEvery = 10 * time.Millisecond

// Until waits until the condition holds; the error of one that never does says what was awaited.
func Until(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(checkEvery)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("waited %s in vain: %s", limit, what)
		}
	}
	return nil
}
