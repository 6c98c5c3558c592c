package emulator

import (
	"cmp"
	"slices"
)

// answerTokenSize is how many times as much a token of the answer counts in a request's size as one of the prompt.
const answerTokenSize = 10

// sizedOutcomes holds the size of each request of a kind and whether it was answered.
type sizedOutcomes []sizedOutcome

type sizedOutcome struct {
	size     int
	answered bool
}

// add adds a request and returns its index.
func (o *sizedOutcomes) add(size int) int {
	*o = append(*o, sizedOutcome{size: size})
	return len(*o) - 1
}

// AnsweredBySize returns the fraction of the requests that were answered, of those whose rank by size is between two fractions of
// all, 0 the smallest.
func (r KindResult) AnsweredBySize(from, to float64) float64 {
	sorted := slices.Clone(r.sizes)
	slices.SortFunc(sorted, func(a, b sizedOutcome) int { return cmp.Compare(a.size, b.size) })
	n := float64(len(sorted))
	part := sorted[int(from*n):int(to*n)]
	answered := 0
	for _, o := range part {
		if o.answered {
			answered++
		}
	}
	return float64(answered) / float64(max(len(part), 1))
}
