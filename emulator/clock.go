package emulator

import (
	"container/heap"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// clock runs events in the order of virtual time.
type clock struct {
	elapsed      time.Duration
	queue        events
	lastSequence int
}

func (c *clock) now() time.Time {
	return epoch.Add(c.elapsed)
}

func (c *clock) schedule(delay time.Duration, action func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{at: c.elapsed + max(delay, 0), sequence: c.lastSequence, action: action})
}

func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.elapsed = next.at
		next.action()
	}
	c.elapsed = until
}
