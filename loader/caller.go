package loader

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// caller is the client of one organisation in one zone, with its own directory of addresses.
type caller struct {
	zone    dotterelpulley.ZoneID
	entries []dotterelpulley.Address
	retry   Retry
	sender  *sender
	start   time.Time

	mu        sync.Mutex
	directory Directory
}

// attempts collects the sends of one request.
type attempts struct {
	mu     sync.Mutex
	result Result
}

func (a *attempts) add(s Send) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result.Sends = append(a.result.Sends, s)
}

// run sends the arrival with its retries and its planned resend.
func (c *caller) run(a Arrival) Result {
	arrivedAt := time.Now()
	now := func() time.Duration { return time.Since(arrivedAt) }
	sends := attempts{result: Result{Arrival: a}}
	var resend conc.WaitGroup
	if a.ResendDelay > 0 {
		resend.Go(func() {
			time.Sleep(a.ResendDelay)
			sends.add(c.send(a, 1, now))
		})
	}
	for n := 0; ; n++ {
		s := c.send(a, n, now)
		sends.add(s)
		wait, retry := c.retry.Next(s, n+1, a.Timeout)
		if !retry {
			break
		}
		time.Sleep(wait)
	}
	resend.Wait()
	return sends.result
}

// send makes the nth send of the request, counted from 0, each to the next entry host of the directory.
func (c *caller) send(a Arrival, n int, now elapsedFunc) Send {
	entry, err := c.address(n)
	if err != nil {
		failedAt := now()
		return Send{Outcome: OutcomeUnreachable, Fault: err.Error(), SentAt: failedAt, EndedAt: failedAt}
	}
	s := c.sender.send(a, entry, now)
	if s.Outcome == OutcomeUnreachable || s.Refusal.Kind == dotterelpulley.ErrorDraining {
		c.invalidateAddresses()
	}
	return s
}

func (c *caller) address(n int) (dotterelpulley.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.directory.Address(n)
}

// refresh requests addresses when the stored ones are stale; an error leaves them unchanged.
func (c *caller) refresh() {
	for range len(c.entries) + 1 {
		if !c.directory.Stale(time.Since(c.start)) {
			return
		}
		entries, err := c.sender.fetchEntries(c.directory.NextSource(c.entries), c.zone)
		if err == nil {
			c.directory.Store(time.Since(c.start), entries)
		}
	}
}

func (c *caller) invalidateAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.Invalidate()
}
