package proof

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/loader"
)

const (
	newVersion = "kaasik-lm@2"
	moveTime   = 45 * time.Second
	// moveRate gives the new version enough requests to be judged by.
	moveRate = 90
	// ctlEvery is the time between two runs of dotterelctl.
	ctlEvery    = 250 * time.Millisecond
	canaryShare = 0.2
	// stopWithin is the time after which a version that was found bad gets no new request.
	stopWithin = 2 * time.Second
	// runsAfter is how much runs after a move was taken back: several times what comes in stopWithin.
	runsAfter = 3 * moveRate * int(stopWithin/time.Second)

	releaseNote = `id = "kaasik-lm-2"
deadline = %q
canary-share = %g
watch = "1s"

[[changes]]
action = "change"
service = "kaasik-lm"
from = { version = "1" }
to = { model = "kaasik-lm", version = "2" }
`
)

// moving makes a running site with a mover on every entry host and a load that lasts longer than any move.
func moving(t *testing.T, change func(*standin.Engine)) (site, *load) {
	s := running(t)
	for _, e := range s.Engines {
		e.ChecksFence = true
		if change != nil {
			change(e)
		}
	}
	for _, e := range s.Entries {
		s.Assert(e.StartMover(), qt.IsNil)
	}
	return s, s.sendLoad(s.Entries, loader.PlanSettings{Duration: 2 * moveTime, Rate: moveRate, ResendFraction: 0.1, Deadline: loadDeadline})
}

// note publishes the move to the new version.
func (s site) note() {
	file := filepath.Join(s.TempDir(), "note.toml")
	text := fmt.Sprintf(releaseNote, moveTime, canaryShare)
	s.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s.publish(file)
}

// moves is what dotterelctl says of the moves.
type moves struct {
	Holder string `json:"mover"`
	Moves  []struct {
		State  string  `json:"state"`
		Step   int     `json:"step"`
		Share  float64 `json:"share"`
		Bad    bool    `json:"bad"`
		Reason string  `json:"reason"`
	} `json:"moves"`
}

func (s site) moves() moves {
	var m moves
	ran, err := s.Binaries.Run(s.Context(), "dotterelctl", "status", "--json", "--log", string(s.Log.Address()))
	s.Assert(err, qt.IsNil)
	s.Assert(json.Unmarshal([]byte(ran.Output), &m), qt.IsNil, qt.Commentf("%s", ran.Output))
	return m
}

// awaitMove waits until the move has ended and returns how.
func (s site) awaitMove() string {
	s.Helper()
	state := ""
	err := prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: moveTime + patience, Interval: ctlEvery}, "the move has ended", func() bool {
		m := s.moves()
		state = ""
		if len(m.Moves) > 0 {
			state = m.Moves[0].State
		}
		return state == "done" || state == "undone"
	})
	s.RecordAction("the move is %q: %+v", state, s.moves())
	s.Assert(err, qt.IsNil)
	return state
}

// awaitStep waits until the move gives the new version a share, and returns the host whose mover is active.
func (s site) awaitStep() *prover.Entry {
	s.Helper()
	var m moves
	err := prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: patience, Interval: ctlEvery}, "the new version gets a share", func() bool {
		m = s.moves()
		return len(m.Moves) > 0 && m.Moves[0].Share > 0
	})
	s.Assert(err, qt.IsNil)
	for _, e := range s.Entries {
		if string(e.Host.ID) == m.Holder {
			return e
		}
	}
	s.Fatalf("the mover on %q is active, which is no host of the site", m.Holder)
	return nil
}

// onlyNew checks that new requests run on the new version alone.
func (s site) onlyNew() {
	s.Helper()
	for i, e := range s.Entries {
		call := plan(fmt.Sprintf("after the move %d", i), 10)
		s.wholeOnce(call, s.send(call, e))
		for _, r := range s.RunsOf(call.Request.Key) {
			s.Check(r.Version, qt.Equals, newVersion)
		}
	}
}

func TestGoodVersionIsDoneByTheDeadline(t *testing.T) {
	s, l := moving(t, nil)
	s.note()
	s.Check(s.awaitMove(), qt.Equals, "done")
	s.onlyNew()
	s.wholeWhere(l.end(), everyRequest)
}

func TestMoveOutlivesItsMover(t *testing.T) {
	s, l := moving(t, nil)
	s.note()
	active := s.awaitStep()
	s.RecordAction("kill the mover of %s", active.Host.ID)
	s.Assert(active.Mover.Signal(syscall.SIGKILL), qt.IsNil)
	s.Check(s.awaitMove(), qt.Equals, "done")
	s.onlyNew()
	s.wholeWhere(l.end(), everyRequest)
}

// TestPausedMoverGivesNoOldOrders wakes a mover after another has taken over: no engine takes an order with an older fence.
func TestPausedMoverGivesNoOldOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check the fence %t", checks), func(t *testing.T) {
			s, l := moving(t, func(e *standin.Engine) { e.ChecksFence = checks })
			s.note()
			active := s.awaitStep()
			s.RecordAction("pause the mover of %s", active.Host.ID)
			s.Assert(active.Mover.Signal(syscall.SIGSTOP), qt.IsNil)
			s.await("another mover is active", func() bool { return s.moves().Holder != string(active.Host.ID) })
			s.RecordAction("wake it")
			s.Assert(active.Mover.Signal(syscall.SIGCONT), qt.IsNil)
			s.Check(s.awaitMove(), qt.Equals, "done")
			s.wholeWhere(l.end(), everyRequest)
			for _, e := range s.Engines {
				s.Check(slices.IsSortedFunc(e.Orders(), byFence), qt.IsTrue, qt.Commentf("orders of %s: %v", e.ID, e.Orders()))
			}
		})
	}
}

func byFence(a, b standin.Order) int {
	return int(a.Fence - b.Fence)
}

func TestBadVersionIsTakenBack(t *testing.T) {
	for _, test := range []struct {
		name   string
		bad    standin.Behaviour
		beside func(site) func()
	}{
		{name: "fails at once", bad: standin.Behaviour{Trigger: standin.AtOnce{}}},
		{name: "slow at once", bad: standin.Behaviour{Trigger: standin.AtOnce{}, SlowFactor: 10}},
		{name: "fails later", bad: standin.Behaviour{Trigger: standin.AfterRequests{Count: 15}}},
		{name: "fails under load", bad: standin.Behaviour{Trigger: standin.UnderLoad{Running: 2}}},
		{name: "fails on one route", bad: standin.Behaviour{Trigger: standin.OnRoute{Route: "season-plan"}}},
		{name: "fails at once while the log is down", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, beside: logDown},
		{name: "fails at once while its mover is paused", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, beside: moverPaused},
		{name: "fails at once beside a killed entry host", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, beside: killAndDrop},
		{name: "fails at once beside silent connections", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, beside: both(peersSilent, enginesSilent)},
		{
			name:   "fails at once while the log is down and an entry host is killed",
			bad:    standin.Behaviour{Trigger: standin.AtOnce{}},
			beside: both(logDown, killAndDrop),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, l := moving(t, func(e *standin.Engine) {
				e.Behaviours = map[string]standin.Behaviour{newVersion: test.bad}
			})
			s.note()
			if test.beside != nil {
				s.awaitStep()
				heal := test.beside(s)
				s.awaitBadRuns(1)
				s.awaitQuiet()
				if heal != nil {
					heal()
				}
			}
			s.Check(s.awaitMove(), qt.Equals, "undone")
			undone := time.Now()
			s.awaitRuns(len(s.Runs()) + runsAfter)
			l.end()
			s.Check(s.badRuns() > 0, qt.IsTrue)
			for _, r := range s.Runs() {
				late := r.Version == newVersion && r.Started.After(undone.Add(stopWithin))
				s.Check(late, qt.IsFalse, qt.Commentf("%s ran on the bad version after it was taken back", r.Key))
			}
			s.Check(standin.Duplicates(s.Runs()), qt.HasLen, 0)
			again := plan("after the bad version", 10)
			s.wholeOnce(again, s.send(again, s.Entries[0]))
		})
	}
}

// badRuns counts what has begun on the new version.
func (s site) badRuns() int {
	n := 0
	for _, r := range s.Runs() {
		if r.Version == newVersion {
			n++
		}
	}
	return n
}

func (s site) awaitBadRuns(n int) {
	s.Helper()
	s.await("requests run on the bad version", func() bool { return s.badRuns() >= n })
}

// awaitQuiet waits until the bad version has got nothing new while many requests ran.
func (s site) awaitQuiet() {
	const others = 2 * moveRate
	s.Helper()
	bad, all := s.badRuns(), len(s.Runs())
	s.await("the bad version gets nothing new", func() bool {
		if n := s.badRuns(); n != bad {
			bad, all = n, len(s.Runs())
		}
		return len(s.Runs()) >= all+others
	})
}

// moverPaused pauses the active mover past its lease.
func moverPaused(s site) func() {
	active := s.awaitStep()
	s.RecordAction("pause the mover of %s", active.Host.ID)
	s.Assert(active.Mover.Signal(syscall.SIGSTOP), qt.IsNil)
	return func() { s.Assert(active.Mover.Signal(syscall.SIGCONT), qt.IsNil) }
}
