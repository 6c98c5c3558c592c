package assessor

import "math"

// alternativeMultiples defines the alternative hypotheses of the test, as multiples of the tolerated rate.
var alternativeMultiples = [...]float64{2, 4, 10, 25}

// maxToleratedRate bounds the tolerated rate.
const maxToleratedRate = 0.9

// maxAlternativeRate bounds the rate of an alternative hypothesis.
const maxAlternativeRate = 0.95

// trials holds the outcomes of Bernoulli trials and the rates to test them against.
type trials struct {
	requests int
	hits     int
	rates
}

// rates holds the rates that a new version is tested against.
type rates struct {
	// tolerated is the rate above which a version is bad.
	tolerated float64
	// expected is the rate above which a version is not proved; it assumes that the past rate still applies.
	expected float64
}

// atLeast returns the rates raised to at least the floor.
func (r rates) atLeast(floor float64) rates {
	return rates{max(floor, r.tolerated), max(floor, r.expected)}
}

type logRatios [len(alternativeMultiples)]float64

// logRatios returns the log likelihood ratio of each alternative against the base rate.
//
// Under any rate up to the base rate, each ratio is a supermartingale of
// mean at most 1, so that their mean exceeds 1/a at any time with probability
// at most a, however often it is evaluated.
func (t trials) logRatios(baseRate float64) logRatios {
	var logs logRatios
	if t.requests == 0 {
		return logs
	}
	hits, misses := float64(t.hits), float64(t.requests-t.hits)
	for i, m := range alternativeMultiples {
		alternative := min(m*baseRate, max(maxAlternativeRate, (1+baseRate)/2))
		logs[i] = hits*math.Log(alternative/baseRate) + misses*math.Log((1-alternative)/(1-baseRate))
	}
	return logs
}

func (l *logRatios) add(other logRatios) {
	for i := range l {
		l[i] += other[i]
	}
}

// mean returns the logarithm of the mean of the ratios.
func (l logRatios) mean() float64 {
	highest := math.Inf(-1)
	for _, v := range l {
		highest = max(highest, v)
	}
	sum := 0.0
	for _, v := range l {
		sum += math.Exp(v - highest)
	}
	return highest + math.Log(sum/float64(len(l)))
}

// minConcurrentRequests is the number of requests of the old version, in the same time as those of the new one, needed to
// show whether conditions have changed.
const minConcurrentRequests = 40

// maxUnknownRate bounds the rate that is tolerated when there are too few requests of the old version.
const maxUnknownRate = 0.6

// proportion is a number of occurrences in a total number of requests.
type proportion struct {
	count int
	total int
}

// newRates returns the rates for a new version from the old version's historical and concurrent requests. The historical
// rate alone is used only if enough concurrent requests show that conditions have not changed: an overload affects
// both versions, but there may be few requests of the old one to show it.
func newRates(historical, concurrent proportion) rates {
	before := min(maxToleratedRate, upperBound(historical))
	now := min(maxToleratedRate, upperBound(concurrent))
	switch {
	case historical.total < minReferenceRequests && concurrent.total < minConcurrentRequests:
		return rates{min(maxUnknownRate, now), min(maxUnknownRate, now)}
	case historical.total < minReferenceRequests:
		return rates{now, now}
	case concurrent.total < minConcurrentRequests:
		return rates{min(maxUnknownRate, max(now, before)), before}
	case float64(concurrent.count) > 1+2*historical.rate()*float64(concurrent.total):
		return rates{now, now}
	}
	return rates{before, before}
}

func (p proportion) rate() float64 {
	return float64(p.count) / float64(p.total)
}

// upperBound returns an upper confidence bound on the rate.
func upperBound(p proportion) float64 {
	const deviations = 2
	n := float64(p.total) + 2
	rate := (float64(p.count) + 1) / n
	return min(1, rate+deviations*math.Sqrt(rate*(1-rate)/n))
}
