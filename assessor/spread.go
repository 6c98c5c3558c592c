package assessor

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// minEndpointSamples is the number of latencies of an endpoint from which on their spread is counted for the old version.
	minEndpointSamples = 8
	// minSlowSamples is the number of latencies of an endpoint from which on it may be found slow.
	minSlowSamples = 3
	// baseTail is the fraction of an endpoint's latencies that lies above the one with which they are compared. It is high, as
	// that one has to be a usual latency although half of them may be slow.
	baseTail = 0.75
	// baseBucket is the bucket of a latency that equals the one with which it is compared.
	baseBucket = buckets / 4
)

// spreadTails are the fractions of the old version's relative latencies above those from which the thresholds are derived: few
// answers that are much slower, and many that are slower.
var spreadTails = [...]float64{slowFraction, 0.25}

// Spread holds how far the latencies of each endpoint lie above a usual one of the same endpoint. It shows a version of which a
// part of the answers is slow, whatever the speed of the hardware that it runs on.
type Spread struct {
	// Old counts the old version's latencies relative to the usual one of their endpoint on each host.
	Old Histogram
	// Slowest is the bucket of the usual latency of the old version's slowest endpoint; 0 if it isn't known.
	Slowest int
	// New counts the new version's latencies by endpoint, as a host alone sees few of them.
	New map[dotterelpulley.EndpointID]*Histogram

	// old counts the old version's latencies on this host by endpoint.
	old map[dotterelpulley.EndpointID]*Histogram
}

// add counts a latency of either version.
func (s *Spread) add(id dotterelpulley.EndpointID, isNew bool, d time.Duration) {
	if id == "" || d <= 0 {
		return
	}
	if isNew {
		endpointHistogram(&s.New, id).Add(d)
		return
	}
	endpointHistogram(&s.old, id).Add(d)
}

func endpointHistogram(of *map[dotterelpulley.EndpointID]*Histogram, id dotterelpulley.EndpointID) *Histogram {
	if *of == nil {
		*of = map[dotterelpulley.EndpointID]*Histogram{}
	}
	if (*of)[id] == nil {
		(*of)[id] = &Histogram{}
	}
	return (*of)[id]
}

// refresh computes Old.
func (s *Spread) refresh() {
	s.Old, s.Slowest = Histogram{}, 0
	for _, h := range s.old {
		if h.total() >= minEndpointSamples {
			s.Slowest = max(s.Slowest, h.quantile(baseTail))
			relative := h.relative()
			s.Old.merge(&relative)
		}
	}
}

// halve halves the weight of the old version's latencies and forgets endpoints that are gone.
func (s *Spread) halve() {
	for id, h := range s.old {
		if h.halve(); h.total() == 0 {
			delete(s.old, id)
		}
	}
}

func (s *Spread) merge(other *Spread) {
	s.Old.merge(&other.Old)
	s.Slowest = max(s.Slowest, other.Slowest)
	for id, h := range other.New {
		endpointHistogram(&s.New, id).merge(h)
	}
}

// relative returns the latencies relative to a usual one.
func (h *Histogram) relative() Histogram {
	base := h.quantile(baseTail)
	var relative Histogram
	for b, n := range h {
		relative[min(max(b-base+baseBucket, 0), buckets-1)] += n
	}
	return relative
}

// slowEndpoint returns the slowest endpoint of the new version if even its usual latency lies far above that of the old
// version's slowest one.
func (s *Spread) slowEndpoint() (slowest dotterelpulley.EndpointID, found bool) {
	highest := s.Slowest + slowBucketMargin
	for id, h := range s.New {
		if usual := h.quantile(baseTail); s.Slowest > 0 && h.total() >= minSlowSamples && usual > highest {
			slowest, found, highest = id, true, usual
		}
	}
	return slowest, found
}

// assessSpread assesses whether more of the new version's latencies lie far above a usual one of their endpoint than of the old
// version's.
func (a Assessor) assessSpread(s *Spread, name string, limits [scopeCount]float64) (bad, doubtful bool, reason string) {
	var spread Histogram
	for _, h := range s.New {
		relative := h.relative()
		spread.merge(&relative)
	}
	if s.Old.total() < minReferenceRequests || spread.total() == 0 {
		return false, false, ""
	}
	for i, tail := range spreadTails {
		threshold := s.Old.quantile(tail) + slowBucketMargin
		rate := max(a.slowRate(), min(maxToleratedRate, upperBound(s.Old.proportionAbove(threshold))))
		observed := spread.proportionAbove(threshold)
		evidence := trials{requests: observed.total, hits: observed.count}.logRatios(rate).mean()
		bad = bad || evidence >= limits[scopeAll]
		// Assurance is asked for once: two tests of the same latencies would fail twice as many good versions.
		doubtful = doubtful || evidence >= a.maxDoubt(group{scope: scopeAll, recent: i > 0}, limits)
		reason = fmt.Sprintf("uneven %s: %d of %d requests", name, observed.count, observed.total)
		if bad || doubtful {
			return bad, doubtful, reason
		}
	}
	if id, found := s.slowEndpoint(); found {
		return false, true, fmt.Sprintf("slow %s of endpoint %q", name, id)
	}
	return false, false, ""
}
