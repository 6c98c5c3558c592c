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
	callWithin = 20 * time.Second
	// streamTokens makes a stream last about two seconds.
	streamTokens = 200
)

func newKey() dotterelpulley.Key {
	id := uuid.Must(uuid.NewV7())
	return dotterelpulley.Key{Organisation: "agro-emajogi", Idempotency: dotterelpulley.IdempotencyKey(id.String())}
}

// plan returns a call for a plan of so many tokens.
func plan(words string, tokens int) prover.Call {
	return prover.Call{Timeout: callWithin, Request: dotterelpulley.Request{
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
	return prover.Call{Timeout: callWithin, Request: dotterelpulley.Request{
		Key:     key,
		Kind:    dotterelpulley.KindBooking,
		Tier:    dotterelpulley.TierStandard,
		Service: "laotus-app",
		Route:   "order",
		Payload: fmt.Appendf(nil, `{"order":%q}`, key.Idempotency),
	}}
}

func (s site) send(c prover.Call, through *prover.Entry) prover.Answer {
	a := c.Send(s.Context(), through.CallerProxy.Address())
	s.RecordAction("%s %s through %s: %s", c.Request.Kind, c.Request.Key, through.Host.ID, a)
	return a
}

// wholeOnce checks that the answer is the whole one and that the key ran once.
func (s site) wholeOnce(c prover.Call, a prover.Answer) {
	s.Helper()
	s.Check(a.MatchesRequest(c.Request), qt.IsTrue, qt.Commentf("%s", a))
	s.Check(s.RunsOf(c.Request.Key), qt.HasLen, 1)
}

// duringStreams sends streams through every entry host, strikes once all have begun, and returns the calls with their answers.
func (s site) duringStreams(strike func()) ([]prover.Call, []prover.Answer) {
	const perEntry = 4
	calls := make([]prover.Call, perEntry*len(s.Entries))
	answers := make([]prover.Answer, len(calls))
	begun := make(chan struct{}, len(calls))
	var tasks conc.WaitGroup
	for i := range calls {
		calls[i] = plan(fmt.Sprintf("stream %d", i), streamTokens)
		calls[i].OnChunk = func(chunks int) {
			if chunks == 5 {
				begun <- struct{}{}
			}
		}
		tasks.Go(func() { answers[i] = s.send(calls[i], s.Entries[i%len(s.Entries)]) })
	}
	for range calls {
		select {
		case <-begun:
		case <-time.After(patience):
			s.Error("a stream has not begun")
		}
	}
	strike()
	tasks.Wait()
	return calls, answers
}

func TestStreamOutlivesSilentConnections(t *testing.T) {
	s := running(t)
	calls, answers := s.duringStreams(func() {
		enginesSilent(s)
		peersSilent(s)
	})
	for i := range calls {
		s.wholeOnce(calls[i], answers[i])
	}
}

// TestUrgentRequestOutlivesSilenceBeforeItsFirstToken silences the connections while engines work through long prompts.
func TestUrgentRequestOutlivesSilenceBeforeItsFirstToken(t *testing.T) {
	const (
		promptBytes = 16 << 10
		budget      = 32
	)
	s := runningWith(t, func(shape *prover.SiteSettings) {
		for _, e := range shape.Engines {
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
	s.wholeOnce(call, answer)
}

func TestStreamOutlivesCutsToTheEngine(t *testing.T) {
	s := running(t)
	calls, answers := s.duringStreams(func() {
		enginesCut(s)
	})
	for i := range calls {
		s.wholeOnce(calls[i], answers[i])
	}
}

// TestStreamOutlivesAShortRefusal cuts the connections and refuses new ones for a moment, while the runs go on.
func TestStreamOutlivesAShortRefusal(t *testing.T) {
	s := running(t)
	calls, answers := s.duringStreams(func() {
		for _, e := range s.Engines {
			e.Stop()
			s.Assert(e.Resume(), qt.IsNil)
		}
	})
	for i := range calls {
		s.wholeOnce(calls[i], answers[i])
	}
}

// TestGracefulShutdownCutsNothing tells a host to end while it streams, and while something else goes wrong.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	for _, beside := range []fault{
		{name: "nothing", strike: nothingAtAll},
		{name: "log down", strike: logDown},
		{name: "log slow", strike: logSlow},
		{name: "answers of the log lost", strike: logAnswersLost},
		{name: "connections to engines silent", strike: enginesSilent},
		{name: "connections between entry hosts silent", strike: peersSilent},
		{name: "engine slow and lying", strike: engineSlow},
		{name: "log down and connections to engines cut", strike: both(logDown, enginesCut)},
	} {
		t.Run(beside.name, func(t *testing.T) {
			s := running(t)
			leaver := s.Entries[0]
			calls, answers := s.duringStreams(func() {
				beside.strike(s)
				s.RecordAction("SIGTERM to %s", leaver.Host.ID)
				s.Assert(leaver.Signal(syscall.SIGTERM), qt.IsNil)
				s.await("the host says that it is not ready", func() bool { return !leaver.Ready() })
				late := plan("late", 10)
				s.Check(s.send(late, leaver).Completed, qt.IsFalse)
				s.wholeOnce(late, s.send(late, s.Entries[1]))
			})
			for i := range calls {
				s.wholeOnce(calls[i], answers[i])
			}
			select {
			case <-leaver.Exited():
				s.Assert(leaver.ExitCode(), qt.Equals, 0)
			case <-time.After(patience):
				s.Fatal("the host has not ended")
			}
		})
	}
}

func TestResendMeetsTheRunningRequest(t *testing.T) {
	s := running(t)
	call := plan("resent", streamTokens)
	var tasks conc.WaitGroup
	answers := make([]prover.Answer, len(s.Entries))
	begun := make(chan struct{})
	first := call
	first.OnChunk = func(chunks int) {
		if chunks == 5 {
			close(begun)
		}
	}
	tasks.Go(func() { answers[0] = s.send(first, s.Entries[0]) })
	<-begun
	for i := 1; i < len(answers); i++ {
		tasks.Go(func() { answers[i] = s.send(call, s.Entries[i]) })
	}
	s.RecordAction("the first caller is cut off")
	s.Entries[0].CallerProxy.Cut()
	tasks.Wait()
	s.Check(answers[0].Completed, qt.IsFalse)
	for _, a := range answers[1:] {
		s.wholeOnce(call, a)
	}
	s.wholeOnce(call, s.send(call, s.Entries[0]))
}

func TestKeyBelongsToItsOrganisation(t *testing.T) {
	s := running(t)
	mine := plan("mine", 20)
	s.wholeOnce(mine, s.send(mine, s.Entries[0]))
	theirs := plan("theirs", 20)
	theirs.Request.Key = dotterelpulley.Key{Organisation: "rannu-vaetis", Idempotency: mine.Request.Key.Idempotency}
	s.wholeOnce(theirs, s.send(theirs, s.Entries[1]))
}

func TestBookingWhoseAnswerIsLostRunsOnce(t *testing.T) {
	s := running(t)
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
	s := running(t)
	s.Plain[0].NotAdmit()
	for range 4 {
		call := booking()
		s.wholeOnce(call, s.send(call, s.Entries[0]))
	}
}

// TestCrashingPromptIsRefusedEverywhere resends a prompt that crashes engines under the same key and under new ones.
func TestCrashingPromptIsRefusedEverywhere(t *testing.T) {
	const mostLost = 2
	s := running(t)
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
	for try := range 9 {
		last = s.send(call, s.Entries[try%len(s.Entries)])
		s.Check(last.Completed, qt.IsFalse)
		if try%2 == 1 {
			call.Request.Key = newKey()
		}
	}
	s.Check(last.Refusal, qt.Equals, dotterelpulley.ErrorIsolated.String())
	s.Check(crashes() > 0, qt.IsTrue)
	s.Check(crashes() <= mostLost, qt.IsTrue, qt.Commentf("%d engines crashed", crashes()))
	s.Check(standin.Duplicates(s.Runs()), qt.HasLen, 0)
	for _, e := range s.Entries {
		innocent := plan("innocent", 20)
		s.wholeOnce(innocent, s.send(innocent, e))
	}
}

func TestUnknownServiceIsRefused(t *testing.T) {
	s := running(t)
	call := plan("unknown", 10)
	call.Request.Service = "no-such-service"
	a := s.send(call, s.Entries[0])
	s.Check(a.Refusal, qt.Equals, dotterelpulley.ErrorUnknownService.String())
	s.Check(s.RunsOf(call.Request.Key), qt.HasLen, 0)
}
