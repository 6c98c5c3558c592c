package repeater

import (
	"context"
	"time"
)

// Every calls do immediately and then at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Sleep waits for the duration or until ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
