package assessor

import "github.com/dotterelpulley/dotterelpulley"

// reference is the old version's tallies, in the cell itself and over wider conditions.
type reference struct {
	cells map[Cell]*CellEvidence
	// wide is over all routes and tiers of one generation and load.
	wide map[wideCell]*CellEvidence
}

type wideCell struct {
	generation dotterelpulley.Generation
	load       Band
}

func newReference(e *Evidence) reference {
	r := reference{cells: e.Cells, wide: map[wideCell]*CellEvidence{}}
	for cell, pair := range e.Cells {
		w := wideCell{cell.Generation, cell.Load}
		if r.wide[w] == nil {
			r.wide[w] = &CellEvidence{}
		}
		r.wide[w].Old.count(&pair.Old)
		r.wide[w].Step.Old.count(&pair.Step.Old)
		r.wide[w].Recent.Old.count(&pair.Recent.Old)
	}
	return r
}

// span returns the pair's tallies since the step began, or of the last seconds.
func (p *CellEvidence) span(recent bool) *Comparison {
	if recent {
		return &p.Recent
	}
	return &p.Step
}

// trials returns the new version's requests in the cell as trials; latency without a reference is not judged.
//
// Only what is recent is held against the past alone: an overload that is over holds no step.
func (r *reference) trials(m measure, cell Cell, recent bool) (trials, bool) {
	t, known := r.measure(m, cell, recent)
	if !recent {
		t.expected = t.tolerated
	}
	return t, known && t.requests > 0
}

func (r *reference) measure(m measure, cell Cell, recent bool) (trials, bool) {
	pair := r.cells[cell]
	span := pair.span(recent)
	if m == measureFailures {
		return trials{span.New.Requests, span.New.Failures, r.failureRates(cell, recent)}, true
	}
	old := histogramOf(m, &pair.Old)
	// Other routes and tiers have unlike lengths, so only the cell itself is a reference.
	if old.total() < minReference {
		return trials{}, false
	}
	limit := old.quantile(slowTail) + slowBuckets
	beside, fresh := histogramOf(m, &span.Old), histogramOf(m, &span.New)
	slow := measured(old.beyond(limit), beside.beyond(limit))
	seen := fresh.beyond(limit)
	return trials{seen.of, seen.count, slow.atLeast(minSlow)}, true
}

// failureRates returns the rates of failures for the cell.
func (r *reference) failureRates(cell Cell, recent bool) rates {
	own, wide := r.cells[cell], r.wide[wideCell{cell.Generation, cell.Load}]
	past, beside := wide.Old.failed(), wide.span(recent).Old.failed()
	if own.Old.Requests >= minReference {
		past = own.Old.failed()
	}
	if own.span(recent).Old.Requests >= enoughBeside {
		beside = own.span(recent).Old.failed()
	}
	return measured(past, beside).atLeast(minRate)
}

func (t *Tally) failed() hits {
	return hits{t.Failures, t.Requests}
}

func histogramOf(m measure, t *Tally) *Histogram {
	if m == measureBetweenTokens {
		return &t.BetweenTokens
	}
	return &t.FirstToken
}
