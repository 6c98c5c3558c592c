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
		r.wide[w].Step.Old.count(&pair.Step.Old)
		r.wide[w].Recent.Old.count(&pair.Recent.Old)
	}
	return r
}

// span returns the pair's tallies since the step began, or of the last seconds.
func (p *Pair) span(recent bool) *Versus {
	if recent {
		return &p.Recent
	}
	return &p.Step
}

// trials returns the new version's requests in the cell as trials; latency without a reference is not judged.
func (r *reference) trials(m measure, cell Cell, recent bool) (trials, bool) {
	pair := r.cells[cell]
	span := pair.span(recent)
	if m == measureFailures {
		t := trials{requests: span.New.Requests, hits: span.New.Failures, tolerated: r.failureRate(cell, recent)}
		return t, t.requests > 0
	}
	old := histogramOf(m, &pair.Old)
	// Other routes and tiers have unlike lengths, so only the cell itself is a reference.
	if old.total() < minReference {
		return trials{}, false
	}
	limit := old.quantile(slowTail) + slowBuckets
	control, fresh := histogramOf(m, &span.Old), histogramOf(m, &span.New)
	slow := max(minSlow, upper(old.above(limit), old.total()), atLeast(control.above(limit), control.total()))
	t := trials{requests: fresh.total(), hits: fresh.above(limit), tolerated: min(maxTolerated, slow)}
	return t, t.requests > 0
}

// failureRate returns the failures that are tolerated: what the old version may have had since the move
// began, or had beside the new one, as when all endpoints are overloaded.
func (r *reference) failureRate(cell Cell, recent bool) float64 {
	own, wide := r.cells[cell], r.wide[wideCell{cell.Generation, cell.Load}]
	beside := 0.0
	for _, p := range []*Pair{own, wide} {
		control := &p.span(recent).Old
		beside = max(beside, atLeast(control.Failures, control.Requests))
	}
	before := unknownRate
	for _, p := range []*Pair{wide, own} {
		if p.Old.Requests >= minReference {
			before = upper(p.Old.Failures, p.Old.Requests)
		}
	}
	return min(maxTolerated, max(minRate, before, beside))
}

func histogramOf(m measure, t *Tally) *Histogram {
	if m == measureBetweenTokens {
		return &t.BetweenTokens
	}
	return &t.FirstToken
}
