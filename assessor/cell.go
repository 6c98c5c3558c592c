package assessor

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Band is the load band of an endpoint when a request was sent to it.
type Band int

// The load bands.
const (
	BandLow Band = iota
	BandHigh
	BandFull
)

// bandCount is the number of load bands.
const bandCount = 3

const (
	highLoad = 0.5
	fullLoad = 1
)

var bandNames = [bandCount]string{"low", "high", "full"}

// String returns the band's name.
func (b Band) String() string {
	return bandNames[b]
}

// ParseBand returns the band of that name.
func ParseBand(name string) (Band, error) {
	for b, known := range bandNames {
		if known == name {
			return Band(b), nil
		}
	}
	return 0, fmt.Errorf("load band %q is none of %q", name, bandNames)
}

// BandOf returns the band of an endpoint with the given fraction of its slots in use.
func BandOf(load float64) Band {
	switch {
	case load >= fullLoad:
		return BandFull
	case load >= highLoad:
		return BandHigh
	}
	return BandLow
}

// Cell is a set of conditions under which two versions are compared.
type Cell struct {
	Route      dotterelpulley.RouteID
	Tier       dotterelpulley.Tier
	Generation dotterelpulley.Generation
	Load       Band
}

// Sample is the outcome of one request at an endpoint.
type Sample struct {
	Cell
	// Endpoint is the endpoint that ran the request; empty if the spread of its latencies isn't counted.
	Endpoint dotterelpulley.EndpointID
	Failed   bool
	// Unfinished samples hold latencies of a request that goes on; its outcome follows in a sample of its own.
	Unfinished bool
	// FirstToken and BetweenTokens are latencies; 0 means not measured.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Tally counts the samples of one version in one cell.
type Tally struct {
	Requests      int
	Failures      int
	FirstToken    Histogram
	BetweenTokens Histogram
}

// Add counts one sample.
func (t *Tally) Add(s Sample) {
	if !s.Unfinished {
		t.Requests++
	}
	if s.Failed {
		t.Failures++
		return
	}
	if s.FirstToken > 0 {
		t.FirstToken.Add(s.FirstToken)
	}
	if s.BetweenTokens > 0 {
		t.BetweenTokens.Add(s.BetweenTokens)
	}
}

// Merge adds the other tally's counts.
func (t *Tally) Merge(other *Tally) {
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.FirstToken.merge(&other.FirstToken)
	t.BetweenTokens.merge(&other.BetweenTokens)
}

// addCounts adds only the other tally's requests and failures.
func (t *Tally) addCounts(other *Tally) {
	t.Requests += other.Requests
	t.Failures += other.Failures
}

// halve halves the weight of all samples counted so far.
func (t *Tally) halve() {
	t.Requests /= 2
	t.Failures /= 2
	t.FirstToken.halve()
	t.BetweenTokens.halve()
}
