package assessor

import "math"

// multiples are the alternatives of the test: how many times the tolerated rate a bad version has.
var multiples = [...]float64{2, 4, 10, 25}

// maxTolerated bounds the rate that is tolerated.
const maxTolerated = 0.9

// maxAlternative bounds the rate that an alternative stands for.
const maxAlternative = 0.95

// trials are Bernoulli outcomes against the rate that is tolerated.
type trials struct {
	requests  int
	hits      int
	tolerated float64
}

type logRatios [len(multiples)]float64

// logRatios returns the log likelihood ratio of each alternative against the tolerated rate.
//
// Under any rate up to the tolerated one each ratio is a supermartingale of
// mean at most 1, so that their mean exceeds 1/a at any time with probability
// at most a, however often it is looked at.
func (t trials) logRatios() logRatios {
	var logs logRatios
	if t.requests == 0 {
		return logs
	}
	p0 := t.tolerated
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

// tolerable returns the rate that is tolerated of a new version, from the old version's past and from what it
// had beside the new one. The past counts only while enough beside it shows that nothing has changed: an
// overload hits both versions, but few requests of the old one may be there to show it.
func tolerable(past, beside hits) float64 {
	if beside.of < enoughBeside {
		return min(maxUnknown, max(upper(beside), knownPast(past)))
	}
	if past.of < minReference || float64(beside.count) > 1+2*past.rate()*float64(beside.of) {
		return min(maxTolerated, upper(beside))
	}
	return min(maxTolerated, upper(past))
}

func knownPast(past hits) float64 {
	if past.of < minReference {
		return 0
	}
	return upper(past)
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
