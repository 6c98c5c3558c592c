package drainer

import "time"

// Phase is a step of a shutdown.
type Phase int

// The phases, in their order.
const (
	// Serving hosts take all requests.
	Serving Phase = iota
	// Draining hosts are out of the directory, take nothing new and finish what runs.
	Draining
	// SigningOff hosts have nothing left to finish and hand over what they hold.
	SigningOff
	// Closing hosts end at once; what still runs gets a truthful answer.
	Closing
)

// Drainer is the decision core of a host's shutdown; the zero value serves.
type Drainer struct {
	// Timeout is the longest time from the first signal to closing.
	Timeout time.Duration
	// SignOffTimeout is the longest wait for the hand-over.
	SignOffTimeout time.Duration

	phase Phase
	since time.Time
	begun time.Time
}

// Phase returns the phase.
func (d *Drainer) Phase() Phase {
	return d.phase
}

// Signal takes a signal or an operator's order; a second one closes at once.
func (d *Drainer) Signal(now time.Time) Phase {
	if d.phase == Serving {
		d.begun = now
		return d.enter(Draining, now)
	}
	return d.enter(Closing, now)
}

// Tick takes the number of requests in progress and whether the hand-over is done.
func (d *Drainer) Tick(now time.Time, live int, signedOff bool) Phase {
	switch d.phase {
	case Serving, Closing:
		return d.phase
	case Draining:
		if now.Sub(d.begun) >= d.Timeout {
			return d.enter(Closing, now)
		}
		if live == 0 {
			return d.enter(SigningOff, now)
		}
	case SigningOff:
		if signedOff || now.Sub(d.since) >= d.SignOffTimeout {
			return d.enter(Closing, now)
		}
	}
	return d.phase
}

func (d *Drainer) enter(p Phase, now time.Time) Phase {
	d.phase = p
	d.since = now
	return p
}
