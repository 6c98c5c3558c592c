package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/loader"
)

const (
	loadRate     = 30
	loadLengths  = 0.1
	loadDeadline = 15 * time.Second
	loadSends    = 8
)

// load is a mix of requests that is being sent.
type load struct {
	site    site
	stop    context.CancelFunc
	tasks   conc.WaitGroup
	results []loader.Result
}

// startLoad sends seeded load to the entry hosts for the duration; some requests are sent twice.
func (s site) startLoad(duration time.Duration, through []*prover.Entry) *load {
	return s.sendLoad(through, loader.PlanSettings{
		Duration:       duration,
		Rate:           loadRate,
		ResendFraction: 0.3,
		Deadline:       loadDeadline,
	})
}

// sendLoad sends load with the settings, seeded and from the site's own profile.
func (s site) sendLoad(through []*prover.Entry, settings loader.PlanSettings) *load {
	profile, err := loader.ParseProfile(string(loader.ProfilePollulaotus))
	s.Assert(err, qt.IsNil)
	runner := loader.Runner{Retry: loader.Retry{MaxSends: loadSends}}
	for _, e := range through {
		runner.Entries = append(runner.Entries, e.CallerProxy.Address())
	}
	settings.Profile = profile
	settings.Seed = loader.Seed(*seed)
	settings.Start = time.Now()
	settings.LengthScale = loadLengths
	arrivals := loader.Plan(settings)
	s.RecordAction("load of %d requests over %s through %d entry hosts", len(arrivals), settings.Duration, len(through))
	ctx, stop := context.WithCancel(s.Context())
	l := &load{site: s, stop: stop}
	l.tasks.Go(func() { l.results = runner.Run(ctx, arrivals) })
	return l
}

// end sends nothing new and waits as wait does.
func (l *load) end() []loader.Result {
	l.stop()
	return l.wait()
}

// wait waits for all answers and holds them against the ledgers: none wrong, none missing, none untrue, nothing run twice.
func (l *load) wait() []loader.Result {
	s := l.site
	s.Helper()
	l.tasks.Wait()
	l.stop()
	s.RecordAction("the load has ended")
	for _, r := range l.results {
		for _, send := range r.Sends {
			s.Check(send.Outcome, qt.Not(qt.Equals), loader.OutcomeWrong, comment(r))
		}
		s.Check(answered(r), qt.IsTrue, comment(r))
	}
	runs, err := loader.FetchLedger(s.Control())
	s.Assert(err, qt.IsNil)
	audit := loader.AuditRuns(l.results, runs)
	s.Check(audit.Duplicates, qt.Equals, 0, qt.Commentf("keys run more than once, such as %v", audit.Examples))
	s.Check(audit.FalseNotRun, qt.Equals, 0, qt.Commentf("keys run that were said not to have run, such as %v", audit.Examples))
	s.Check(audit.Unfounded, qt.Equals, 0, qt.Commentf("whole answers that nothing ran for, such as %v", audit.Examples))
	return l.results
}

// answered reports whether the last send that left the caller brought a whole answer or a refusal; a resend for which
// no time was left when its turn came never left.
func answered(r loader.Result) bool {
	r.Sends = slices.DeleteFunc(slices.Clone(r.Sends), func(s loader.Send) bool {
		return s.Outcome == loader.OutcomeTimedOut && s.EndedAt == s.SentAt
	})
	return r.Answered()
}

// wholeWhere checks that every request that the filter takes was answered whole.
func (s site) wholeWhere(results []loader.Result, takes func(loader.Result) bool) {
	s.Helper()
	for _, r := range results {
		if takes(r) {
			_, whole := r.Completed()
			s.Check(whole, qt.IsTrue, comment(r))
		}
	}
}

// lostOnTheWay returns the requests that no endpoint has started and whose callers were told that the outcome is
// unknown: their bytes may still be on a connection that went silent, so they must not be sent again.
func (s site) lostOnTheWay(results []loader.Result) map[dotterelpulley.Key]bool {
	starts := standin.Starts(s.Runs())
	lost := map[dotterelpulley.Key]bool{}
	for _, r := range results {
		key := r.Arrival.Request.Key
		told := slices.ContainsFunc(r.Sends, func(send loader.Send) bool {
			return send.Refusal.Kind == dotterelpulley.ErrorOutcomeUnknown
		})
		if _, whole := r.Completed(); !whole && told && starts[key.String()] == 0 {
			lost[key] = true
		}
	}
	return lost
}

func everyRequest(loader.Result) bool {
	return true
}

func urgent(r loader.Result) bool {
	return r.Arrival.Request.Tier == dotterelpulley.TierUrgent
}

func comment(r loader.Result) qt.Comment {
	a := r.Arrival
	var sends strings.Builder
	for _, s := range r.Sends {
		fmt.Fprintf(&sends, "; %s to %s: %s %s %s %s", s.SentAt, s.Entry, s.EndedAt, s.Outcome, s.Refusal.Kind, s.Fault)
	}
	return qt.Commentf("%s %s of %s at %s%s", a.Request.Kind, a.Request.Key, a.Request.Route, a.At, sends.String())
}
