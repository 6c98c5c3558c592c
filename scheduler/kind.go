package scheduler

import "github.com/dotterelpulley/dotterelpulley"

const (
	// kindSamples is the number of pieces of work that the averages of a kind span.
	kindSamples = 64
	// maxKinds bounds the routes that are remembered.
	maxKinds = 4096
)

// kinds holds what is known of each kind of work, by route; the zero value is empty.
type kinds map[dotterelpulley.RouteID]*kind

// kind is what is known of the recent work of one route.
type kind struct {
	count int
	// answer is the mean expected number of tokens in an answer.
	answer float64
}

func (k *kinds) of(route dotterelpulley.RouteID) *kind {
	if *k == nil || len(*k) >= maxKinds {
		*k = kinds{}
	}
	known, ok := (*k)[route]
	if !ok {
		known = &kind{}
		(*k)[route] = known
	}
	return known
}

// offered adds work to the averages.
func (k *kind) offered(w Work) {
	k.count = min(k.count+1, kindSamples)
	k.answer += (float64(w.Answer) - k.answer) / float64(k.count)
}

// holdFactor returns how long work of this kind holds its slot relative to a full answer: at most 1, less for short answers. All
// work of a kind counts the same: by its own length, the smallest would take each slot that becomes free.
func (k *kind) holdFactor() float64 {
	if k.answer == 0 {
		return 1
	}
	return min(k.answer/fullAnswerTokens, 1)
}
