package repeater

import (
	"context"
	"time"
)

// Every calls do at once and then at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		do()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Sleep waits for the duration or until ctx ends, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}
