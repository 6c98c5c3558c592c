package assessor

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// recentWindow is half of the maximum time that recent evidence covers.
const recentWindow = 5 * time.Second

// halvingInterval is the interval at which the reference is halved between moves, so that it reflects about the last 15 minutes.
const halvingInterval = 5 * time.Minute

// Exposure identifies one step of a move, during which the new version has a constant share of the traffic.
type Exposure struct {
	Note    dotterelpulley.NoteID
	Service dotterelpulley.ServiceID
	Step    int
	Old     dotterelpulley.VersionID
	New     dotterelpulley.VersionID
}

// Comparison holds both versions' tallies over one span of time.
type Comparison struct {
	Old Tally
	New Tally
}

func (c *Comparison) merge(other *Comparison) {
	c.Old.Merge(&other.Old)
	c.New.Merge(&other.New)
}

// CellEvidence holds both versions' tallies in one cell.
type CellEvidence struct {
	// Old counts the old version's requests since the start of the move and, with decreasing weight, before it.
	Old Tally
	// Step covers the time since the start of the step.
	Step Comparison
	// Recent covers the last seconds.
	Recent Comparison
}

// Order numbers an operator's order: the era of the store and the offset after the order's record.
type Order struct {
	Era  dotterelpulley.StoreEra
	Next int64
}

// Evidence holds the samples of one exposure, from one host or merged from several.
type Evidence struct {
	Exposure Exposure
	// Order is the order that the exposure follows, as there may be several for one version; zero if there is none, or its host
	// doesn't tell.
	Order     Order
	StartedAt time.Time
	Cells     map[Cell]*CellEvidence
	// FirstToken and BetweenTokens are the spreads of latencies on each endpoint.
	FirstToken    Spread
	BetweenTokens Spread

	current   map[Cell]*Comparison
	previous  map[Cell]*Comparison
	rotatedAt time.Time
	halvedAt  time.Time
}

// BeginReference switches to the time between moves, when only the version in force is counted, as a reference for the
// next move. It also halves the reference at each halving interval.
func (e *Evidence) BeginReference(service dotterelpulley.ServiceID, inForce dotterelpulley.VersionID, now time.Time) {
	e.BeginExposure(Exposure{Service: service, Old: inForce}, now)
	if now.Sub(e.halvedAt) < halvingInterval {
		return
	}
	e.halvedAt = now
	e.FirstToken.halve()
	e.BetweenTokens.halve()
	for cell, evidence := range e.Cells {
		evidence.Old.halve()
		if evidence.Old.Requests == 0 {
			delete(e.Cells, cell)
		}
	}
}

// BeginExposure switches to the exposure; the reference is kept if the service and the old version stay the same.
func (e *Evidence) BeginExposure(x Exposure, now time.Time) {
	if e.Exposure == x {
		return
	}
	if e.Exposure.Service != x.Service || e.Exposure.Old != x.Old {
		e.Cells = nil
		e.FirstToken, e.BetweenTokens = Spread{}, Spread{}
	}
	e.FirstToken.New, e.BetweenTokens.New = nil, nil
	for _, evidence := range e.Cells {
		*evidence = CellEvidence{Old: evidence.Old}
	}
	e.Exposure, e.StartedAt, e.rotatedAt, e.halvedAt = x, now, now, now
	e.current, e.previous = nil, nil
}

// Add counts a sample of either version.
func (e *Evidence) Add(version dotterelpulley.VersionID, s Sample, now time.Time) {
	e.rotate(now)
	evidence, recent := e.cellEvidence(s.Cell), e.recentComparison(s.Cell)
	switch version {
	case e.Exposure.Old:
		evidence.Old.Add(s)
		evidence.Step.Old.Add(s)
		recent.Old.Add(s)
	case e.Exposure.New:
		evidence.Step.New.Add(s)
		recent.New.Add(s)
	default:
		return
	}
	e.FirstToken.add(s.Endpoint, version != e.Exposure.Old, s.FirstToken)
	e.BetweenTokens.add(s.Endpoint, version != e.Exposure.Old, s.BetweenTokens)
}

// Refresh updates the recent tallies to the given time.
func (e *Evidence) Refresh(now time.Time) {
	e.rotate(now)
	e.FirstToken.refresh()
	e.BetweenTokens.refresh()
	for cell, evidence := range e.Cells {
		evidence.Recent = Comparison{}
		for _, window := range []map[Cell]*Comparison{e.current, e.previous} {
			if comparison := window[cell]; comparison != nil {
				evidence.Recent.merge(comparison)
			}
		}
	}
}

func (e *Evidence) recentComparison(c Cell) *Comparison {
	if e.current == nil {
		e.current = map[Cell]*Comparison{}
	}
	if e.current[c] == nil {
		e.current[c] = &Comparison{}
	}
	return e.current[c]
}

// Merge adds another host's evidence for the same exposure.
func (e *Evidence) Merge(other *Evidence) {
	for cell, added := range other.Cells {
		merged := e.cellEvidence(cell)
		merged.Old.Merge(&added.Old)
		merged.Step.merge(&added.Step)
		merged.Recent.merge(&added.Recent)
	}
	e.FirstToken.merge(&other.FirstToken)
	e.BetweenTokens.merge(&other.BetweenTokens)
	if e.StartedAt.IsZero() || other.StartedAt.Before(e.StartedAt) {
		e.StartedAt = other.StartedAt
	}
}

func (e *Evidence) rotate(now time.Time) {
	if now.Sub(e.rotatedAt) < recentWindow {
		return
	}
	e.previous = e.current
	if now.Sub(e.rotatedAt) >= 2*recentWindow {
		e.previous = nil
	}
	e.current = nil
	e.rotatedAt = now
}

func (e *Evidence) cellEvidence(c Cell) *CellEvidence {
	if e.Cells == nil {
		e.Cells = map[Cell]*CellEvidence{}
	}
	if e.Cells[c] == nil {
		e.Cells[c] = &CellEvidence{}
	}
	return e.Cells[c]
}
