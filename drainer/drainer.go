package drainer

import "time"

// Phase is a step of a shutdown.
type Phase int

// The phases, in order.
const (
	// Serving hosts accept all requests.
	Serving Phase = iota
	// Draining hosts are no longer in the directory, accept no new requests and finish the running ones.
	Draining
	// SigningOff hosts have no requests left and hand over the state that they hold.
	SigningOff
	// Closing hosts stop immediately; requests that are still running get an answer that states their true outcome.
	Closing
)

// Drainer is the state machine of a host's shutdown; the zero value is in phase Serving.
type Drainer struct {
	// Timeout is the longest time from the first signal until draining ends with Closing.
	Timeout time.Duration
	// SignOffTimeout is the longest time to wait for the hand-over.
	SignOffTimeout time.Duration

	phase          Phase
	phaseStartedAt time.Time
	drainStartedAt time.Time
}

// Phase returns the current phase.
func (d *Drainer) Phase() Phase {
	return d.phase
}

// Signal handles a termination signal or an operator's order to drain; a second one closes the host immediately.
func (d *Drainer) Signal(now time.Time) Phase {
	if d.phase == Serving {
		d.drainStartedAt = now
		return d.enter(Draining, now)
	}
	return d.enter(Closing, now)
}

// Tick advances the phase, given the number of requests in progress and whether the hand-over is done.
func (d *Drainer) Tick(now time.Time, inProgress int, signedOff bool) Phase {
	switch d.phase {
	case Serving, Closing:
		return d.phase
	case Draining:
		if now.Sub(d.drainStartedAt) >= d.Timeout {
			return d.enter(Closing, now)
		}
		if inProgress == 0 {
			return d.enter(SigningOff, now)
		}
	case SigningOff:
		if signedOff || now.Sub(d.phaseStartedAt) >= d.SignOffTimeout {
			return d.enter(Closing, now)
		}
	}
	return d.phase
}

func (d *Drainer) enter(p Phase, now time.Time) Phase {
	d.phase = p
	d.phaseStartedAt = now
	return p
}
