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
	loadRate        = 30
	loadLengthScale = 0.1
	loadDeadline    = 15 * time.Second
	loadMaxSends    = 8
)

// load is a mix of requests in the course of being sent.
type load struct {
	site    site
	stop    context.CancelFunc
	tasks   conc.WaitGroup
	results []loader.Result
}

// startLoad sends seeded load to the entry hosts for the duration; some requests are resent.
func (s site) startLoad(duration time.Duration, entries []*prover.Entry) *load {
	return s.sendLoad(entries, loader.PlanSettings{
		Duration:       duration,
		Rate:           loadRate,
		ResendFraction: 0.3,
		Deadline:       loadDeadline,
	})
}

// sendLoad sends seeded load of the pollulaotus profile with the settings.
func (s site) sendLoad(entries []*prover.Entry, settings loader.PlanSettings) *load {
	profile, err := loader.ParseProfile(string(loader.ProfilePollulaotus))
	s.Assert(err, qt.IsNil)
	runner := loader.Runner{Retry: loader.Retry{MaxSends: loadMaxSends}}
	for _, e := range entries {
		runner.Entries = append(runner.Entries, e.CallerProxy.Address())
	}
	settings.Profile = profile
	settings.Seed = loader.Seed(*seed)
	settings.Start = time.Now()
	settings.LengthScale = loadLengthScale
	arrivals := loader.Plan(settings)
	s.RecordAction("load of %d requests over %s through %d entry hosts", len(arrivals), settings.Duration, len(entries))
	ctx, stop := context.WithCancel(s.Context())
	l := &load{site: s, stop: stop}
	l.tasks.Go(func() { l.results = runner.Run(ctx, arrivals) })
	return l
}

// stopAndWait stops sending new requests, then does the same as wait.
func (l *load) stopAndWait() []loader.Result {
	l.stop()
	return l.wait()
}

// wait waits for all answers and audits them against the ledgers: no answer is wrong or missing, none misstates whether
// the request ran, and no key runs twice.
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
	s.Check(audit.Duplicates, qt.Equals, 0, qt.Commentf("keys that ran more than once, such as %v", audit.Examples))
	s.Check(audit.FalseNotRun, qt.Equals, 0, qt.Commentf("keys that ran but were reported as not run, such as %v", audit.Examples))
	s.Check(audit.Unfounded, qt.Equals, 0, qt.Commentf("completed answers without a run, such as %v", audit.Examples))
	return l.results
}

// answered reports whether the last send that left the caller got a complete answer or a refusal. A resend that timed out
// before it was sent does not count.
func answered(r loader.Result) bool {
	r.Sends = slices.DeleteFunc(slices.Clone(r.Sends), func(s loader.Send) bool {
		return s.Outcome == loader.OutcomeTimedOut && s.EndedAt == s.SentAt
	})
	return r.Answered()
}

// checkCompleted checks that every request accepted by the filter got a complete answer.
func (s site) checkCompleted(results []loader.Result, filter func(loader.Result) bool) {
	s.Helper()
	for _, r := range results {
		if filter(r) {
			_, completed := r.Completed()
			s.Check(completed, qt.IsTrue, comment(r))
		}
	}
}

// lostInTransit returns the requests that no endpoint has started and that were answered with an unknown outcome: their
// bytes may still be in transit on a connection that went silent, so the entry host must not resend them.
func (s site) lostInTransit(results []loader.Result) map[dotterelpulley.Key]bool {
	starts := standin.CountStarts(s.Runs())
	lost := map[dotterelpulley.Key]bool{}
	for _, r := range results {
		key := r.Arrival.Request.Key
		outcomeUnknown := slices.ContainsFunc(r.Sends, func(send loader.Send) bool {
			return send.Refusal.Kind == dotterelpulley.ErrorOutcomeUnknown
		})
		if _, completed := r.Completed(); !completed && outcomeUnknown && starts[key.String()] == 0 {
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
