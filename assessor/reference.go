package assessor

import "github.com/dotterelpulley/dotterelpulley"

// reference holds the old version's tallies, by cell and pooled over several cells.
type reference struct {
	cells map[Cell]*CellEvidence
	// pooled combines all routes and tiers of one generation and load.
	pooled map[pooledCell]*CellEvidence
	// slowRate is the least fraction of slow requests that is tolerated.
	slowRate float64
	// slowBuckets is how far above most of the old version's a latency is slow.
	slowBuckets int
}

type pooledCell struct {
	generation dotterelpulley.Generation
	load       Band
}

func newReference(e *Evidence) reference {
	r := reference{cells: e.Cells, pooled: map[pooledCell]*CellEvidence{}}
	for cell, evidence := range e.Cells {
		key := pooledCell{cell.Generation, cell.Load}
		if r.pooled[key] == nil {
			r.pooled[key] = &CellEvidence{}
		}
		r.pooled[key].Old.addCounts(&evidence.Old)
		r.pooled[key].Step.Old.addCounts(&evidence.Step.Old)
		r.pooled[key].Recent.Old.addCounts(&evidence.Recent.Old)
	}
	return r
}

// tallies returns the tallies since the start of the step, or those of the last seconds.
func (e *CellEvidence) tallies(recent bool) *Comparison {
	if recent {
		return &e.Recent
	}
	return &e.Step
}

// trials returns the new version's requests in the cell as trials; it returns false for a latency without a reference.
//
// Only recent evidence is tested against the past rate alone, so that an overload that is over does not hold up the step.
func (r *reference) trials(m measure, cell Cell, recent bool) (trials, bool) {
	t, known := r.measure(m, cell, recent)
	if !recent {
		t.expected = t.tolerated
	}
	return t, known && t.requests > 0
}

func (r *reference) measure(m measure, cell Cell, recent bool) (trials, bool) {
	evidence := r.cells[cell]
	tallies := evidence.tallies(recent)
	if m == measureFailures {
		return trials{tallies.New.Requests, tallies.New.Failures, r.failureRates(cell, recent)}, true
	}
	old := histogramOf(m, &evidence.Old)
	// Requests of other routes and tiers differ in length, so latency is only compared within the cell.
	if old.total() < minReferenceRequests {
		return trials{}, false
	}
	threshold := old.quantile(slowFraction) + r.slowBuckets
	concurrent, candidate := histogramOf(m, &tallies.Old), histogramOf(m, &tallies.New)
	slow := newRates(old.proportionAbove(threshold), concurrent.proportionAbove(threshold))
	observed := candidate.proportionAbove(threshold)
	return trials{observed.total, observed.count, slow.atLeast(r.slowRate)}, true
}

// failureRates returns the failure rates that the new version is tested against in the cell.
func (r *reference) failureRates(cell Cell, recent bool) rates {
	own, pooled := r.cells[cell], r.pooled[pooledCell{cell.Generation, cell.Load}]
	historical, concurrent := pooled.Old.failureProportion(), pooled.tallies(recent).Old.failureProportion()
	if own.Old.Requests >= minReferenceRequests {
		historical = own.Old.failureProportion()
	}
	if own.tallies(recent).Old.Requests >= minConcurrentRequests {
		concurrent = own.tallies(recent).Old.failureProportion()
	}
	return newRates(historical, concurrent).atLeast(minFailureRate)
}

func (t *Tally) failureProportion() proportion {
	return proportion{t.Failures, t.Requests}
}

func histogramOf(m measure, t *Tally) *Histogram {
	if m == measureBetweenTokens {
		return &t.BetweenTokens
	}
	return &t.FirstToken
}
