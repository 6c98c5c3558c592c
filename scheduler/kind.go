package scheduler

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// kindSamples is the number of pieces of work that the averages of a kind span.
	kindSamples = 64
	// answerTokenSize is how many times as much a token of the answer counts in the size of work as one of the prompt, as it
	// takes a step of its own.
	answerTokenSize = 10
	// maxKinds bounds the routes that are remembered.
	maxKinds = 4096
	// maxAdvance bounds by how much of its objective the largest work of a kind comes before the smallest, or after it.
	maxAdvance = 1
	// sizeSlope is by how much less often the largest work of a kind is served than the smallest, relative to the average, while
	// most is refused. Small work gives more answers for the time of a slot.
	sizeSlope = 0.5
	// advanceGain is the weight of a decision in the advance.
	advanceGain = 0.1
)

// kinds holds what is known of each kind of work, by route; the zero value is empty.
type kinds map[dotterelpulley.RouteID]*kind

// kind is what is known of the recent work of one route.
type kind struct {
	count int
	// answer is the mean expected number of tokens in an answer.
	answer float64
	// sizes are those of recent work, of which next is overwritten next.
	sizes [kindSamples]float64
	next  int
	// starts counts recent starts, from which retry delays are computed.
	starts decayingCount
	// refused is the fraction of recent work that was refused.
	refused float64
	// advance is the part of its objective by which the largest work comes before the smallest that arrived at the same time;
	// negative if it comes after it.
	advance float64
}

func (k *kinds) of(route dotterelpulley.RouteID) *kind {
	if known, ok := (*k)[route]; ok {
		return known
	}
	if *k == nil || len(*k) >= maxKinds {
		*k = kinds{}
	}
	known := &kind{}
	(*k)[route] = known
	return known
}

// offered adds work to the averages and returns its rank by size: the fraction of recent work that is smaller.
func (k *kind) offered(w Work) float64 {
	size := float64(w.Prompt) + answerTokenSize*float64(w.Answer)
	smaller, equal := 0, 0
	for _, other := range k.sizes[:k.count] {
		switch {
		case other < size:
			smaller++
		case other == size:
			equal++
		}
	}
	rank := 0.5
	if k.count > 0 {
		rank = (float64(smaller) + 0.5*float64(equal)) / float64(k.count)
	}
	k.sizes[k.next] = size
	k.next = (k.next + 1) % kindSamples
	k.count = min(k.count+1, kindSamples)
	k.answer += (float64(w.Answer) - k.answer) / float64(k.count)
	return rank
}

// holdFactor returns how long work of this kind holds its slot relative to a full answer: at most 1, less for short answers. All
// work of a kind counts the same: by its own length, the smallest would take each slot that becomes free.
func (k *kind) holdFactor() float64 {
	if k.answer == 0 {
		return 1
	}
	return min(k.answer/fullAnswerTokens, 1)
}

// turn returns the time by which work of the kind is ordered; it isn't after the arrival.
func (k *kind) turn(w Work) time.Time {
	earlier := k.advance * w.sizeRank
	if k.advance < 0 {
		earlier = -k.advance * (1 - w.sizeRank)
	}
	return w.Arrived.Add(-time.Duration(earlier * float64(w.Objective)))
}

// decided adjusts the advance so that large work isn't refused more often than sizeSlope says, whatever keeps it from endpoints.
func (k *kind) decided(w Work, refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	k.refused += (outcome - k.refused) / kindSamples
	size := w.sizeRank - 0.5
	expected := k.refused + sizeSlope*size*k.refused*(1-k.refused)
	k.advance = min(max(k.advance+advanceGain*size*(outcome-expected), -maxAdvance), maxAdvance)
}

// decayingCount counts events of about the last startRateWindow; the zero value is empty.
type decayingCount struct {
	count float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count, c.at = c.decayed(now)+1, now
}

func (c *decayingCount) decayed(now time.Time) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-max(now.Sub(c.at).Seconds(), 0)/startRateWindow.Seconds())
}
