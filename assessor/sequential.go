package assessor

import "math"

// multiples are the alternatives of the test: how many times the tolerated rate a bad version has.
var multiples = [...]float64{2, 4, 10, 25}

// maxTolerated bounds the rate that is tolerated.
const maxTolerated = 0.9

// maxAlternative bounds the rate that an alternative stands for.
const maxAlternative = 0.95

// trials are Bernoulli outcomes against two rates.
type trials struct {
	requests int
	hits     int
	rates
}

// rates are what a new version is measured by.
type rates struct {
	// tolerated is the rate above which a version is bad.
	tolerated float64
	// expected is the rate above which a version is not proved; it takes the past for granted.
	expected float64
}

// atLeast returns the rates with a floor.
func (r rates) atLeast(floor float64) rates {
	return rates{max(floor, r.tolerated), max(floor, r.expected)}
}

type logRatios [len(multiples)]float64

// logRatios returns the log likelihood ratio of each alternative against the rate p0.
//
// Under any rate up to p0 each ratio is a supermartingale of
// mean at most 1, so that their mean exceeds 1/a at any time with probability
// at most a, however often it is looked at.
func (t trials) logRatios(p0 float64) logRatios {
	var logs logRatios
	if t.requests == 0 {
		return logs
	}
	hits, misses := float64(t.hits), float64(t.requests-t.hits)
	for i, m := range multiples {
		p1 := min(m*p0, max(maxAlternative, (1+p0)/2))
		logs[i] = hits*math.Log(p1/p0) + misses*math.Log((1-p1)/(1-p0))
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
	top := math.Inf(-1)
	for _, v := range l {
		top = max(top, v)
	}
	sum := 0.0
	for _, v := range l {
		sum += math.Exp(v - top)
	}
	return top + math.Log(sum/float64(len(l)))
}

// enoughBeside is how many requests of the old version beside the new one show whether things are as before.
const enoughBeside = 40

// maxUnknown bounds the rate that is tolerated for want of requests of the old version.
const maxUnknown = 0.6

// hits counts how often something happened in so many requests.
type hits struct {
	count int
	of    int
}

// measured returns the rates for a new version, from the old version's past and from what it had beside the
// new one. The past counts only while enough beside it shows that nothing has changed: an overload hits both
// versions, but few requests of the old one may be there to show it.
func measured(past, beside hits) rates {
	before := min(maxTolerated, upper(past))
	now := min(maxTolerated, upper(beside))
	switch {
	case past.of < minReference && beside.of < enoughBeside:
		return rates{min(maxUnknown, now), min(maxUnknown, now)}
	case past.of < minReference:
		return rates{now, now}
	case beside.of < enoughBeside:
		return rates{min(maxUnknown, max(now, before)), before}
	case float64(beside.count) > 1+2*past.rate()*float64(beside.of):
		return rates{now, now}
	}
	return rates{before, before}
}

func (h hits) rate() float64 {
	return float64(h.count) / float64(h.of)
}

// upper returns an upper confidence bound of the rate.
func upper(h hits) float64 {
	const deviations = 2
	n := float64(h.of) + 2
	p := (float64(h.count) + 1) / n
	return min(1, p+deviations*math.Sqrt(p*(1-p)/n))
}
