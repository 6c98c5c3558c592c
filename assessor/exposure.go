package assessor

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// recentWindow is half of the longest time that recent evidence covers.
const recentWindow = 5 * time.Second

// halveEvery is how often the reference is halved between moves, so that it is of the last quarter of an hour.
const halveEvery = 5 * time.Minute

// Exposure names one step of one move, the time in which a version has one share.
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

func (v *Comparison) merge(other *Comparison) {
	v.Old.Merge(&other.Old)
	v.New.Merge(&other.New)
}

// CellEvidence is what is known of both versions in one cell.
type CellEvidence struct {
	// Old is the old version since the move began and, with older requests counting ever less, before.
	Old Tally
	// Step is since the step began.
	Step Comparison
	// Recent is of the last seconds.
	Recent Comparison
}

// Evidence is what one host, or all together, know of one exposure.
type Evidence struct {
	Exposure  Exposure
	StartedAt time.Time
	Cells     map[Cell]*CellEvidence

	current  map[Cell]*Comparison
	previous map[Cell]*Comparison
	rotated  time.Time
	halved   time.Time
}

// BeginReference turns to the time between moves, in which only the version in force is counted, as a reference for the next.
func (e *Evidence) BeginReference(service dotterelpulley.ServiceID, inForce dotterelpulley.VersionID, now time.Time) {
	e.BeginExposure(Exposure{Service: service, Old: inForce}, now)
	if now.Sub(e.halved) < halveEvery {
		return
	}
	e.halved = now
	for cell, pair := range e.Cells {
		pair.Old.halve()
		if pair.Old.Requests == 0 {
			delete(e.Cells, cell)
		}
	}
}

// BeginExposure turns to the exposure; the reference is kept while the old version is the same.
func (e *Evidence) BeginExposure(x Exposure, now time.Time) {
	if e.Exposure == x {
		return
	}
	if e.Exposure.Service != x.Service || e.Exposure.Old != x.Old {
		e.Cells = nil
	}
	for _, pair := range e.Cells {
		*pair = CellEvidence{Old: pair.Old}
	}
	e.Exposure, e.StartedAt, e.rotated, e.halved = x, now, now, now
	e.current, e.previous = nil, nil
}

// Add counts a sample of either version.
func (e *Evidence) Add(version dotterelpulley.VersionID, s Sample, now time.Time) {
	e.rotate(now)
	pair, recent := e.pair(s.Cell), e.latest(s.Cell)
	switch version {
	case e.Exposure.Old:
		pair.Old.Add(s)
		pair.Step.Old.Add(s)
		recent.Old.Add(s)
	case e.Exposure.New:
		pair.Step.New.Add(s)
		recent.New.Add(s)
	}
}

// Refresh brings the recent tallies up to the time.
func (e *Evidence) Refresh(now time.Time) {
	e.rotate(now)
	for cell, pair := range e.Cells {
		pair.Recent = Comparison{}
		for _, half := range []map[Cell]*Comparison{e.current, e.previous} {
			if v := half[cell]; v != nil {
				pair.Recent.merge(v)
			}
		}
	}
}

func (e *Evidence) latest(c Cell) *Comparison {
	if e.current == nil {
		e.current = map[Cell]*Comparison{}
	}
	if e.current[c] == nil {
		e.current[c] = &Comparison{}
	}
	return e.current[c]
}

// Merge adds the evidence of another host on the same exposure.
func (e *Evidence) Merge(other *Evidence) {
	for cell, theirs := range other.Cells {
		mine := e.pair(cell)
		mine.Old.Merge(&theirs.Old)
		mine.Step.merge(&theirs.Step)
		mine.Recent.merge(&theirs.Recent)
	}
	if e.StartedAt.IsZero() || other.StartedAt.Before(e.StartedAt) {
		e.StartedAt = other.StartedAt
	}
}

func (e *Evidence) rotate(now time.Time) {
	if now.Sub(e.rotated) < recentWindow {
		return
	}
	e.previous = e.current
	if now.Sub(e.rotated) >= 2*recentWindow {
		e.previous = nil
	}
	e.current = nil
	e.rotated = now
}

func (e *Evidence) pair(c Cell) *CellEvidence {
	if e.Cells == nil {
		e.Cells = map[Cell]*CellEvidence{}
	}
	if e.Cells[c] == nil {
		e.Cells[c] = &CellEvidence{}
	}
	return e.Cells[c]
}
