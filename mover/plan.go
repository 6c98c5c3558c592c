package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// stepOverhead is the time that a step takes beyond its watch: the append, its delivery to every entry host, and a poll.
	stepOverhead = 2 * time.Second
	// finishMargin is reserved before a deadline for the last record.
	finishMargin = 5 * time.Second
)

// stepShares returns the shares of a move's steps, from the canary share to the last one; the outcome record shifts the rest.
func stepShares(canaryShare float64) []float64 {
	shares := []float64{canaryShare}
	for _, next := range []float64{0.25, 0.5} {
		if next > 1.5*shares[len(shares)-1] {
			shares = append(shares, next)
		}
	}
	return append(shares, recorder.FinalShare)
}

// MinDuration returns the minimum duration of a move with this canary share and watch, without loading.
func MinDuration(canaryShare float64, watch time.Duration) time.Duration {
	steps := time.Duration(len(stepShares(canaryShare)))
	return steps*(watch+stepOverhead) + finishMargin
}

// remainingTime returns the time that the move still needs, including the rest of its current step's watch.
func remainingTime(m recorder.Move, now time.Time) time.Duration {
	left := len(stepShares(m.CanaryShare)) - m.Number
	need := time.Duration(left)*(m.ObservationTime+stepOverhead) + finishMargin
	if m.Number > 0 {
		need += max(0, m.ObservationTime-now.Sub(m.Since))
	}
	return need
}
