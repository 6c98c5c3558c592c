package loader

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// caller is one organisation's client in one zone, with its own kept addresses.
type caller struct {
	zone  dotterelpulley.ZoneID
	given []dotterelpulley.Address
	retry Retry
	http  *sender
	start time.Time

	mu        sync.Mutex
	directory Directory
}

// attempts gathers the sends of one request.
type attempts struct {
	mu     sync.Mutex
	result Result
}

func (t *attempts) add(s Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Sends = append(t.result.Sends, s)
}

// run carries out the arrival with its retries and its planned resend.
func (c *caller) run(a Arrival) Result {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	t := attempts{result: Result{Arrival: a}}
	var resend conc.WaitGroup
	if a.ResendAfter > 0 {
		resend.Go(func() {
			time.Sleep(a.ResendAfter)
			t.add(c.send(a, 1, now))
		})
	}
	for n := 0; ; n++ {
		s := c.send(a, n, now)
		t.add(s)
		wait, again := c.retry.Next(s, n+1, a.Within)
		if !again {
			break
		}
		time.Sleep(wait)
	}
	resend.Wait()
	return t.result
}

// send makes the request's nth send, each to another entry host than the one before.
func (c *caller) send(a Arrival, n int, now elapsed) Send {
	entry, err := c.address(n)
	if err != nil {
		at := now()
		return Send{Outcome: OutcomeUnreachable, Fault: err.Error(), Sent: at, Ended: at}
	}
	s := c.http.send(a, entry, now)
	if s.Outcome == OutcomeUnreachable || s.Refused.Kind == dotterelpulley.ErrorDraining {
		c.distrust()
	}
	return s
}

func (c *caller) address(n int) (dotterelpulley.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return c.directory.Address(n)
}

// refresh asks for addresses when the kept ones are stale; an error leaves them as they are.
func (c *caller) refresh() {
	for range len(c.given) + 1 {
		if !c.directory.Stale(time.Since(c.start)) {
			return
		}
		entries, err := c.http.entries(c.directory.Source(c.given), c.zone)
		if err == nil {
			c.directory.Keep(time.Since(c.start), entries)
		}
	}
}

func (c *caller) distrust() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.Distrust()
}
