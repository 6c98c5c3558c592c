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

// upper returns an upper confidence bound of a rate that was hit so often in n.
func upper(hits, n int) float64 {
	const deviations = 2
	p := (float64(hits) + 1) / (float64(n) + 2)
	return min(1, p+deviations*math.Sqrt(p*(1-p)/(float64(n)+2)))
}

// atLeast returns a rate that is not exceeded by chance of the few seen, and 0 when nothing was hit.
func atLeast(hits, n int) float64 {
	if hits == 0 {
		return 0
	}
	return (float64(hits) + math.Sqrt(float64(hits))) / float64(n)
}
