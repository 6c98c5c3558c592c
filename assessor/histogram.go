package assessor

import (
	"math"
	"time"
)

const (
	buckets = 64
	// bucketsPerDoubling sets the histogram's resolution.
	bucketsPerDoubling = 4
)

// Histogram counts latencies in logarithmic buckets starting at one millisecond.
type Histogram [buckets]int

// Add counts one latency.
func (h *Histogram) Add(d time.Duration) {
	h[bucketOf(d)]++
}

func bucketOf(d time.Duration) int {
	if d < time.Millisecond {
		return 0
	}
	ms := float64(d) / float64(time.Millisecond)
	return min(buckets-1, 1+int(math.Log2(ms)*bucketsPerDoubling))
}

func (h *Histogram) merge(other *Histogram) {
	for i, n := range other {
		h[i] += n
	}
}

func (h *Histogram) total() int {
	return h.above(-1)
}

// above returns the number of latencies in buckets above the given one.
func (h *Histogram) above(bucket int) int {
	n := 0
	for i := bucket + 1; i < buckets; i++ {
		n += h[i]
	}
	return n
}

// quantile returns the lowest bucket such that at most the fraction tail of the latencies lies above it.
func (h *Histogram) quantile(tail float64) int {
	allowed := tail * float64(h.total())
	for b := range buckets {
		if float64(h.above(b)) <= allowed {
			return b
		}
	}
	return buckets - 1
}

func (h *Histogram) halve() {
	for i := range h {
		h[i] /= 2
	}
}

// proportionAbove returns the proportion of latencies in buckets above the given one.
func (h *Histogram) proportionAbove(bucket int) proportion {
	return proportion{h.above(bucket), h.total()}
}
