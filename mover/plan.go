package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// stepOverhead is the time that a step takes beside its watch: the append, its way to every entry host, and a poll.
	stepOverhead = 2 * time.Second
	// finishMargin is kept free before a deadline for the last record.
	finishMargin = 5 * time.Second
)

// ladder returns the shares of a move's steps, from the canary share to the last; the done record gives the rest.
func ladder(limit float64) []float64 {
	shares := []float64{limit}
	for _, next := range []float64{0.25, 0.5} {
		if next > 1.5*shares[len(shares)-1] {
			shares = append(shares, next)
		}
	}
	return append(shares, recorder.LastShare)
}

// MinDuration returns the least time in which a move with these terms can be done, without loading.
func MinDuration(limit float64, watch time.Duration) time.Duration {
	steps := time.Duration(len(ladder(limit)))
	return steps*(watch+stepOverhead) + finishMargin
}

// needed returns the time that the move still needs, when its current step's watch has run for so long.
func needed(m recorder.Move, now time.Time) time.Duration {
	left := len(ladder(m.Cap)) - m.Number
	need := time.Duration(left)*(m.Watch+stepOverhead) + finishMargin
	if m.Number > 0 {
		need += max(0, m.Watch-now.Sub(m.Since))
	}
	return need
}
