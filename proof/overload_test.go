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

// TestOverloadShedsLowerTiersFirst sends about twice the load that the engines can serve: requests of lower tiers are
// refused, no urgent request is shed, and every urgent request completes unless the fault kills a process.
func TestOverloadShedsLowerTiersFirst(t *testing.T) {
	for _, f := range []fault{
		{name: "nothing", inject: noFault, mustComplete: urgent},
		{name: "log down", inject: logDown, mustComplete: urgent},
		{name: "answers of the log lost", inject: logAnswersLost, mustComplete: urgent},
		{name: "engine slow and lying", inject: engineSlow, mustComplete: urgent},
		{name: "engine crashes and comes back", inject: engineCrash, mustComplete: noRequest},
		{name: "connections to engines silent", inject: enginesSilent, mustComplete: urgent, detectionTime: prover.IdleTimeout, mayLoseRequests: true},
		{name: "entry host killed and dropped", inject: killAndDrop, mustComplete: noRequest},
		{name: "entry host killed and started again", inject: killAndRestart, mustComplete: noRequest},
		{name: "log down and engine slow", inject: both(logDown, engineSlow), mustComplete: urgent},
	} {
		t.Run(f.name, func(t *testing.T) { testOverload(t, f) })
	}
}

func testOverload(t *testing.T, f fault) {
	const (
		rate     = 250
		duration = 8 * time.Second
		deadline = 3 * time.Second
		slots    = 4
	)
	s := startSiteWith(t, func(settings *prover.SiteSettings) {
		for _, e := range settings.Engines {
			e.Slots = slots
		}
	})
	l := s.sendLoad(s.Entries, loader.PlanSettings{Rate: rate, Duration: duration, Deadline: deadline + f.detectionTime})
	s.awaitRuns(runsBefore)
	f.inject(s)
	results := l.wait()
	lost := map[dotterelpulley.Key]bool{}
	if f.mayLoseRequests {
		lost = s.lostInTransit(results)
	}
	s.checkCompleted(results, func(r loader.Result) bool {
		return f.mustComplete(r) && !lost[r.Arrival.Request.Key]
	})
	refused := 0
	for _, r := range results {
		for _, send := range r.Sends {
			shed := send.Refusal.Kind == dotterelpulley.ErrorShed || send.Refusal.Kind == dotterelpulley.ErrorDeadlineUnreachable
			s.Check(shed && urgent(r), qt.IsFalse, comment(r))
		}
		if _, completed := r.Completed(); !completed && !urgent(r) {
			refused++
		}
	}
	s.Check(len(lost) <= slots*len(s.Engines), qt.IsTrue, qt.Commentf("%d requests were lost in transit", len(lost)))
	s.Check(refused > 0, qt.IsTrue, qt.Commentf("no request was refused: the load did not overload the engines"))
	s.Check(standin.DuplicateKeys(s.Runs()), qt.HasLen, 0)
}
