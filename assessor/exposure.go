package assessor

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// recentWindow is half of the longest time that recent evidence covers.
const recentWindow = 10 * time.Second

// Exposure names one step of one move, the time in which a version has one share.
type Exposure struct {
	Note    dotterelpulley.NoteID
	Service dotterelpulley.ServiceID
	Step    int
	Old     dotterelpulley.VersionID
	New     dotterelpulley.VersionID
}

// Pair is what is known of both versions in one cell.
type Pair struct {
	// Old is the old version since the move began.
	Old Tally
	// OldStep is the old version since the step began.
	OldStep Tally
	// New is the new version since the step began.
	New Tally
	// Recent is the new version in the last seconds.
	Recent Tally
}

// Evidence is what one host, or all together, know of one exposure.
type Evidence struct {
	Exposure Exposure
	Began    time.Time
	Cells    map[Cell]*Pair

	current  map[Cell]*Tally
	rotated  time.Time
	previous map[Cell]*Tally
}

// Begin turns to the exposure; the reference is kept over the steps of one move.
func (e *Evidence) Begin(x Exposure, now time.Time) {
	if e.Exposure == x {
		return
	}
	same := e.Exposure
	same.Step = x.Step
	if same != x {
		e.Cells = nil
	}
	for _, pair := range e.Cells {
		*pair = Pair{Old: pair.Old}
	}
	e.Exposure, e.Began, e.rotated = x, now, now
	e.current, e.previous = nil, nil
}

// Add counts a sample of either version.
func (e *Evidence) Add(version dotterelpulley.VersionID, s Sample, now time.Time) {
	e.rotate(now)
	switch version {
	case e.Exposure.Old:
		pair := e.pair(s.Cell)
		pair.Old.Add(s)
		pair.OldStep.Add(s)
	case e.Exposure.New:
		e.pair(s.Cell).New.Add(s)
		if e.current == nil {
			e.current = map[Cell]*Tally{}
		}
		if e.current[s.Cell] == nil {
			e.current[s.Cell] = &Tally{}
		}
		e.current[s.Cell].Add(s)
	}
}

// Refresh brings the recent tallies up to the time.
func (e *Evidence) Refresh(now time.Time) {
	e.rotate(now)
	for cell, pair := range e.Cells {
		pair.Recent = Tally{}
		for _, half := range []map[Cell]*Tally{e.current, e.previous} {
			if t := half[cell]; t != nil {
				pair.Recent.Merge(t)
			}
		}
	}
}

// Merge adds the evidence of another host on the same exposure.
func (e *Evidence) Merge(other *Evidence) {
	for cell, theirs := range other.Cells {
		mine := e.pair(cell)
		mine.Old.Merge(&theirs.Old)
		mine.OldStep.Merge(&theirs.OldStep)
		mine.New.Merge(&theirs.New)
		mine.Recent.Merge(&theirs.Recent)
	}
	if e.Began.IsZero() || other.Began.Before(e.Began) {
		e.Began = other.Began
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

func (e *Evidence) pair(c Cell) *Pair {
	if e.Cells == nil {
		e.Cells = map[Cell]*Pair{}
	}
	if e.Cells[c] == nil {
		e.Cells[c] = &Pair{}
	}
	return e.Cells[c]
}
