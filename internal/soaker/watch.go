package soaker

import (
	"context"
	"sync"
	"time"
)

const (
	// watchEvery is the time between two looks at the clock.
	watchEvery = 20 * time.Millisecond
	// heldUp is by how much a look may come late until the machine counts as held up; hosts that are held up as long
	// miss several of their own time limits.
	heldUp = 400 * time.Millisecond
)

// watch notices when the machine doesn't let the soak run, and so hardly its hosts.
type watch struct {
	mutex sync.Mutex
	held  time.Duration
}

// run notes each such time as trouble until the context ends.
func (w *watch) run(ctx context.Context, l *ledger) {
	for last := time.Now(); ctx.Err() == nil; {
		wait(ctx, watchEvery)
		now := time.Now()
		if late := now.Sub(last) - watchEvery; late > heldUp {
			w.mutex.Lock()
			w.held += late
			w.mutex.Unlock()
			t := Trouble{Name: "machine-held-up", From: last, To: now}
			l.note(func(o *Observed) { o.Troubles = append(o.Troubles, t) })
		}
		last = now
	}
}

// total is for how long the machine was held up so far.
func (w *watch) total() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.held
}
