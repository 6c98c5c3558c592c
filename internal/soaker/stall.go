package soaker

import (
	"context"
	"sync"
	"time"
)

const (
	// stallCheckInterval is the time between two checks of the clock.
	stallCheckInterval = 20 * time.Millisecond
	// stallThreshold is how late a check must be to count as a stall; hosts that stall for as long exceed several of their
	// own timeouts.
	stallThreshold = 400 * time.Millisecond
)

// stallDetector detects when the operating system does not schedule the soak, and so probably not its hosts either.
type stallDetector struct {
	mutex   sync.Mutex
	stalled time.Duration
}

// run records each stall as a disturbance until the context ends.
func (d *stallDetector) run(ctx context.Context, l *ledger) {
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallCheckInterval)
		now := time.Now()
		if late := now.Sub(last) - stallCheckInterval; late > stallThreshold {
			d.mutex.Lock()
			d.stalled += late
			d.mutex.Unlock()
			disturbance := Disturbance{Name: "machine-held-up", From: last, To: now}
			l.record(func(o *Observations) { o.Disturbances = append(o.Disturbances, disturbance) })
		}
		last = now
	}
}

// total returns the total duration of the stalls so far.
func (d *stallDetector) total() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stalled
}
