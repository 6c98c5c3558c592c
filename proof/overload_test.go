package proof

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/loader"
)

// TestOverloadShedsLowerTiersFirst sends about twice what the engines can do: others are
// refused, but no urgent request is shed, and all are answered whole where nothing dies.
func TestOverloadShedsLowerTiersFirst(t *testing.T) {
	for _, beside := range []fault{
		{name: "nothing", strike: nothingAtAll, whole: urgent},
		{name: "log down", strike: logDown, whole: urgent},
		{name: "answers of the log lost", strike: logAnswersLost, whole: urgent},
		{name: "engine slow and lying", strike: engineSlow, whole: urgent},
		{name: "engine crashes and comes back", strike: engineCrash, whole: nothing},
		{name: "connections to engines silent", strike: enginesSilent, whole: urgent, notice: prover.IdleTimeout, losesOnTheWay: true},
		{name: "entry host killed and dropped", strike: killAndDrop, whole: nothing},
		{name: "entry host killed and started again", strike: killAndRestart, whole: nothing},
		{name: "log down and engine slow", strike: both(logDown, engineSlow), whole: urgent},
	} {
		t.Run(beside.name, func(t *testing.T) { testOverload(t, beside) })
	}
}

func testOverload(t *testing.T, beside fault) {
	const (
		rate     = 250
		duration = 8 * time.Second
		deadline = 3 * time.Second
		slots    = 4
	)
	s := runningWith(t, func(shape *prover.SiteSettings) {
		for _, e := range shape.Engines {
			e.Slots = slots
		}
	})
	l := s.sendLoad(s.Entries, loader.PlanSettings{Rate: rate, Duration: duration, Deadline: deadline + beside.notice})
	s.awaitRuns(runsBefore)
	beside.strike(s)
	results := l.wait()
	lost := map[dotterelpulley.Key]bool{}
	if beside.losesOnTheWay {
		lost = s.lostOnTheWay(results)
	}
	s.wholeWhere(results, func(r loader.Result) bool {
		return beside.whole(r) && !lost[r.Arrival.Request.Key]
	})
	refused := 0
	for _, r := range results {
		for _, send := range r.Sends {
			shed := send.Refusal.Kind == dotterelpulley.ErrorShed || send.Refusal.Kind == dotterelpulley.ErrorDeadlineUnreachable
			s.Check(shed && urgent(r), qt.IsFalse, comment(r))
		}
		if _, whole := r.Completed(); !whole && !urgent(r) {
			refused++
		}
	}
	s.Check(len(lost) <= slots*len(s.Engines), qt.IsTrue, qt.Commentf("%d requests were lost on the way", len(lost)))
	s.Check(refused > 0, qt.IsTrue, qt.Commentf("the load was no overload"))
	s.Check(standin.Duplicates(s.Runs()), qt.HasLen, 0)
}
