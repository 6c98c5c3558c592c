package assessor

import "github.com/dotterelpulley/dotterelpulley"

// reference is the old version's tallies, in the cell itself and over wider conditions.
type reference struct {
	cells map[Cell]*Pair
	// wide is over all routes and tiers of one generation and load.
	wide map[wideCell]*Pair
}

type wideCell struct {
	generation dotterelpulley.Generation
	load       Band
}

func newReference(e *Evidence) reference {
	r := reference{cells: e.Cells, wide: map[wideCell]*Pair{}}
	for cell, pair := range e.Cells {
		w := wideCell{cell.Generation, cell.Load}
		if r.wide[w] == nil {
			r.wide[w] = &Pair{}
		}
		r.wide[w].Old.count(&pair.Old)
		r.wide[w].OldStep.count(&pair.OldStep)
	}
	return r
}

// trials returns the tally as trials of that measure; latency without a reference is not judged.
func (r *reference) trials(m measure, cell Cell, t *Tally) (trials, bool) {
	if m == measureFailures {
		return trials{requests: t.Requests, hits: t.Failures, tolerated: r.failureRate(cell)}, true
	}
	pair := r.cells[cell]
	old := histogramOf(m, &pair.Old)
	// Other routes and tiers have unlike lengths, so only the cell itself is a reference.
	if old.total() < minReference {
		return trials{}, false
	}
	limit := old.quantile(slowTail) + slowBuckets
	step := histogramOf(m, &pair.OldStep)
	slow := max(minSlow, upper(old.above(limit), old.total()), atLeast(step.above(limit), step.total()))
	mine := histogramOf(m, t)
	return trials{requests: mine.total(), hits: mine.above(limit), tolerated: min(maxTolerated, slow)}, true
}

// failureRate returns the failures that are tolerated: what the old version may have had since the move
// began, or has for sure in this very step, as when all endpoints are overloaded.
func (r *reference) failureRate(cell Cell) float64 {
	for _, p := range []*Pair{r.cells[cell], r.wide[wideCell{cell.Generation, cell.Load}]} {
		if p.Old.Requests < minReference {
			continue
		}
		now := atLeast(p.OldStep.Failures, p.OldStep.Requests)
		return min(maxTolerated, max(minRate, upper(p.Old.Failures, p.Old.Requests), now))
	}
	return unknownRate
}

func histogramOf(m measure, t *Tally) *Histogram {
	if m == measureBetweenTokens {
		return &t.BetweenTokens
	}
	return &t.FirstToken
}
