package assessor

import "github.com/dotterelpulley/dotterelpulley"

// reference is the old version's tallies, in the cell itself and over wider conditions.
type reference struct {
	cells map[Cell]*Tally
	// wide is over all routes and tiers of one generation and load.
	wide map[wideCell]*Tally
}

type wideCell struct {
	generation dotterelpulley.Generation
	load       Band
}

func newReference(e *Evidence) reference {
	r := reference{cells: map[Cell]*Tally{}, wide: map[wideCell]*Tally{}}
	for cell, pair := range e.Cells {
		r.cells[cell] = &pair.Old
		w := wideCell{cell.Generation, cell.Load}
		if r.wide[w] == nil {
			r.wide[w] = &Tally{}
		}
		r.wide[w].Merge(&pair.Old)
	}
	return r
}

// trials returns the tally as trials of that measure; latency without a reference is not judged.
func (r *reference) trials(m measure, cell Cell, t *Tally) (trials, bool) {
	if m == measureFailures {
		return trials{requests: t.Requests, hits: t.Failures, tolerated: r.failureRate(cell)}, true
	}
	old := r.histogram(m, cell)
	if old == nil {
		return trials{}, false
	}
	limit := old.quantile(slowTail) + slowBuckets
	slow := upper(old.above(limit), old.total())
	mine := histogramOf(m, t)
	return trials{requests: mine.total(), hits: mine.above(limit), tolerated: max(minSlow, slow)}, true
}

func (r *reference) failureRate(cell Cell) float64 {
	for _, t := range []*Tally{r.cells[cell], r.wide[wideCell{cell.Generation, cell.Load}]} {
		if t != nil && t.Requests >= minReference {
			return max(minRate, min(maxAlternative, upper(t.Failures, t.Requests)))
		}
	}
	return unknownRate
}

// histogram returns the old version's latencies in the cell; other routes and tiers have unlike lengths, so they are no reference.
func (r *reference) histogram(m measure, cell Cell) *Histogram {
	t := r.cells[cell]
	if t == nil {
		return nil
	}
	h := histogramOf(m, t)
	if h.total() < minReference {
		return nil
	}
	return h
}

func histogramOf(m measure, t *Tally) *Histogram {
	if m == measureBetweenTokens {
		return &t.BetweenTokens
	}
	return &t.FirstToken
}
