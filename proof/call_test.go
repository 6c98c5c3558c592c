package proof

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

const (
	callTimeout = 20 * time.Second
	// streamTokens makes a stream last about two seconds.
	streamTokens = 200
)

func newKey() dotterelpulley.Key {
	id := uuid.Must(uuid.NewV7())
	return dotterelpulley.Key{Organisation: "agro-emajogi", Idempotency: dotterelpulley.IdempotencyKey(id.String())}
}

// plan returns a call for a plan with the given number of output tokens.
func plan(words string, tokens int) prover.Call {
	return prover.Call{Timeout: callTimeout, Request: dotterelpulley.Request{
		Key:       newKey(),
		Kind:      dotterelpulley.KindPlan,
		Tier:      dotterelpulley.TierInteractive,
		Service:   "kaasik-lm",
		Route:     "parcel-check",
		Prompt:    fmt.Sprintf("%s len=%d", words, tokens),
		MaxTokens: dotterelpulley.Tokens(tokens),
	}}
}

func booking() prover.Call {
	key := newKey()
	return prover.Call{Timeout: callTimeout, Request: dotterelpulley.Request{
		Key:     key,
		Kind:    dotterelpulley.KindBooking,
		Tier:    dotterelpulley.TierStandard,
		Service: "laotus-app",
		Route:   "order",
		Payload: fmt.Appendf(nil, `{"order":%q}`, key.Idempotency),
	}}
}

func (s site) send(c prover.Call, entry *prover.Entry) prover.Answer {
	a := c.Send(s.Context(), entry.CallerProxy.Address())
	s.RecordAction("%s %s through %s: %s", c.Request.Kind, c.Request.Key, entry.Host.ID, a)
	return a
}

// checkCompletedOnce checks that the answer is complete and correct, and that the key ran once.
func (s site) checkCompletedOnce(c prover.Call, a prover.Answer) {
	s.Helper()
	s.Check(a.MatchesRequest(c.Request), qt.IsTrue, qt.Commentf("%s", a))
	s.Check(s.RunsOf(c.Request.Key), qt.HasLen, 1)
}

// duringStreams starts streams through every entry host, injects the fault once all have started, and returns the calls
// with their answers.
func (s site) duringStreams(inject func()) ([]prover.Call, []prover.Answer) {
	const streamsPerEntry = 4
	calls := make([]prover.Call, streamsPerEntry*len(s.Entries))
	answers := make([]prover.Answer, len(calls))
	started := make(chan struct{}, len(calls))
	var tasks conc.WaitGroup
	for i := range calls {
		calls[i] = plan(fmt.Sprintf("stream %d", i), streamTokens)
		calls[i].OnChunk = func(chunks int) {
			if chunks == 5 {
				started <- struct{}{}
			}
		}
		tasks.Go(func() { answers[i] = s.send(calls[i], s.Entries[i%len(s.Entries)]) })
	}
	for range calls {
		select {
		case <-started:
		case <-time.After(awaitTimeout):
			s.Error("a stream has not started")
		}
	}
	inject()
	tasks.Wait()
	return calls, answers
}

func TestStreamOutlivesSilentConnections(t *testing.T) {
	s := startSite(t)
	calls, answers := s.duringStreams(func() {
		enginesSilent(s)
		peersSilent(s)
	})
	for i := range calls {
		s.checkCompletedOnce(calls[i], answers[i])
	}
}

// TestUrgentRequestOutlivesSilenceBeforeItsFirstToken silences the connections while the engines still process the prompt,
// before they have sent the head of the answer.
func TestUrgentRequestOutlivesSilenceBeforeItsFirstToken(t *testing.T) {
	const (
		promptBytes = 16 << 10
		budget      = 32
	)
	s := startSiteWith(t, func(settings *prover.SiteSettings) {
		for _, e := range settings.Engines {
			e.LateHead = true
			e.Budget = budget
		}
	})
	call := plan(strings.Repeat("x", promptBytes), 20)
	call.Request.Tier = dotterelpulley.TierUrgent
	call.Timeout = dotterelpulley.TierUrgent.DefaultDeadline()
	var tasks conc.WaitGroup
	var answer prover.Answer
	tasks.Go(func() { answer = s.send(call, s.Entries[0]) })
	s.awaitRuns(1)
	enginesSilent(s)
	tasks.Wait()
	s.checkCompletedOnce(call, answer)
}

func TestStreamOutlivesCutsToTheEngine(t *testing.T) {
	s := startSite(t)
	calls, answers := s.duringStreams(func() {
		enginesCut(s)
	})
	for i := range calls {
		s.checkCompletedOnce(calls[i], answers[i])
	}
}

// TestStreamOutlivesAShortRefusal cuts the connections and briefly refuses new ones, while the runs continue.
func TestStreamOutlivesAShortRefusal(t *testing.T) {
	s := startSite(t)
	calls, answers := s.duringStreams(func() {
		for _, e := range s.Engines {
			e.Stop()
			s.Assert(e.Resume(), qt.IsNil)
		}
	})
	for i := range calls {
		s.checkCompletedOnce(calls[i], answers[i])
	}
}

// TestGracefulShutdownCutsNothing sends SIGTERM to a host that is streaming, during another fault.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	for _, f := range []fault{
		{name: "nothing", inject: noFault},
		{name: "log down", inject: logDown},
		{name: "log slow", inject: logSlow},
		{name: "answers of the log lost", inject: logAnswersLost},
		{name: "connections to engines silent", inject: enginesSilent},
		{name: "connections between entry hosts silent", inject: peersSilent},
		{name: "engine slow and lying", inject: engineSlow},
		{name: "log down and connections to engines cut", inject: both(logDown, enginesCut)},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSite(t)
			draining := s.Entries[0]
			calls, answers := s.duringStreams(func() {
				f.inject(s)
				s.RecordAction("SIGTERM to %s", draining.Host.ID)
				s.Assert(draining.Signal(syscall.SIGTERM), qt.IsNil)
				s.await("the host reports that it is not ready", func() bool { return !draining.Ready() })
				late := plan("late", 10)
				s.Check(s.send(late, draining).Completed, qt.IsFalse)
				s.checkCompletedOnce(late, s.send(late, s.Entries[1]))
			})
			for i := range calls {
				s.checkCompletedOnce(calls[i], answers[i])
			}
			select {
			case <-draining.Exited():
				s.Assert(draining.ExitCode(), qt.Equals, 0)
			case <-time.After(awaitTimeout):
				s.Fatal("the host has not exited")
			}
		})
	}
}

func TestResendJoinsTheRunningRequest(t *testing.T) {
	s := startSite(t)
	call := plan("resent", streamTokens)
	var tasks conc.WaitGroup
	answers := make([]prover.Answer, len(s.Entries))
	started := make(chan struct{})
	first := call
	first.OnChunk = func(chunks int) {
		if chunks == 5 {
			close(started)
		}
	}
	tasks.Go(func() { answers[0] = s.send(first, s.Entries[0]) })
	<-started
	for i := 1; i < len(answers); i++ {
		tasks.Go(func() { answers[i] = s.send(call, s.Entries[i]) })
	}
	s.RecordAction("cut the first caller's connection")
	s.Entries[0].CallerProxy.CloseConnections()
	tasks.Wait()
	s.Check(answers[0].Completed, qt.IsFalse)
	for _, a := range answers[1:] {
		s.checkCompletedOnce(call, a)
	}
	s.checkCompletedOnce(call, s.send(call, s.Entries[0]))
}

func TestKeyBelongsToItsOrganisation(t *testing.T) {
	s := startSite(t)
	mine := plan("mine", 20)
	s.checkCompletedOnce(mine, s.send(mine, s.Entries[0]))
	theirs := plan("theirs", 20)
	theirs.Request.Key = dotterelpulley.Key{Organisation: "rannu-vaetis", Idempotency: mine.Request.Key.Idempotency}
	s.checkCompletedOnce(theirs, s.send(theirs, s.Entries[1]))
}

func TestBookingWhoseAnswerIsLostRunsOnce(t *testing.T) {
	s := startSite(t)
	for _, p := range s.Plain {
		p.LoseAnswers(1)
	}
	call := booking()
	a := s.send(call, s.Entries[0])
	s.Assert(a.Completed, qt.IsFalse)
	s.Check(a.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
	for _, e := range s.Entries {
		again := s.send(call, e)
		s.Check(again.Completed, qt.IsFalse)
		s.Check(again.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
	}
	s.Check(s.RunsOf(call.Request.Key), qt.HasLen, 1)
}

func TestRefusalBeforeTheStartIsTriedElsewhere(t *testing.T) {
	s := startSite(t)
	s.Plain[0].RejectCalls()
	for range 4 {
		call := booking()
		s.checkCompletedOnce(call, s.send(call, s.Entries[0]))
	}
}

// TestCrashingPromptIsRefusedEverywhere resends a prompt that crashes engines, under the same key and under new keys.
func TestCrashingPromptIsRefusedEverywhere(t *testing.T) {
	const maxCrashes = 2
	s := startSite(t)
	for _, e := range s.Engines {
		e.CrashOn("crash me", 500*time.Millisecond)
	}
	crashes := func() int {
		n := 0
		for _, e := range s.Engines {
			n += e.Crashes()
		}
		return n
	}
	call := plan("crash me", 20)
	var last prover.Answer
	for attempt := range 9 {
		last = s.send(call, s.Entries[attempt%len(s.Entries)])
		s.Check(last.Completed, qt.IsFalse)
		if attempt%2 == 1 {
			call.Request.Key = newKey()
		}
	}
	s.Check(last.Refusal, qt.Equals, dotterelpulley.ErrorIsolated.String())
	s.Check(crashes() > 0, qt.IsTrue)
	s.Check(crashes() <= maxCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", crashes()))
	s.Check(standin.DuplicateKeys(s.Runs()), qt.HasLen, 0)
	for _, e := range s.Entries {
		innocent := plan("innocent", 20)
		s.checkCompletedOnce(innocent, s.send(innocent, e))
	}
}

func TestUnknownServiceIsRefused(t *testing.T) {
	s := startSite(t)
	call := plan("unknown", 10)
	call.Request.Service = "no-such-service"
	a := s.send(call, s.Entries[0])
	s.Check(a.Refusal, qt.Equals, dotterelpulley.ErrorUnknownService.String())
	s.Check(s.RunsOf(call.Request.Key), qt.HasLen, 0)
}
