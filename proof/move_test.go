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
	newVersion   = "kaasik-lm@2"
	moveDeadline = 45 * time.Second
	// moveRate gives the new version enough requests to be assessed.
	moveRate = 90
	// statusInterval is the time between two runs of dotterelctl.
	statusInterval = 250 * time.Millisecond
	canaryShare    = 0.2
	// stopTimeout is the time after which a version found bad gets no new requests.
	stopTimeout = 2 * time.Second
	// runsAfter is the number of runs to await after a move was undone: several times the requests sent in stopTimeout.
	runsAfter = 3 * moveRate * int(stopTimeout/time.Second)

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

// startSiteWithMovers starts a site with a mover on every entry host and a load that lasts longer than any move.
func startSiteWithMovers(t *testing.T, change func(*standin.Engine)) (site, *load) {
	s := startSite(t)
	for _, e := range s.Engines {
		e.ChecksFence = true
		if change != nil {
			change(e)
		}
	}
	for _, e := range s.Entries {
		s.Assert(e.StartMover(), qt.IsNil)
	}
	return s, s.sendLoad(s.Entries, loader.PlanSettings{Duration: 2 * moveDeadline, Rate: moveRate, ResendFraction: 0.1, Deadline: loadDeadline})
}

// publishNote publishes a release note that moves the service to the new version.
func (s site) publishNote() {
	file := filepath.Join(s.TempDir(), "note.toml")
	text := fmt.Sprintf(releaseNote, moveDeadline, canaryShare)
	s.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s.publish(file)
}

// moveStatus is the status of the moves that dotterelctl prints.
type moveStatus struct {
	ActiveMover string `json:"mover"`
	Moves       []struct {
		State  string  `json:"state"`
		Step   int     `json:"step"`
		Share  float64 `json:"share"`
		Bad    bool    `json:"bad"`
		Reason string  `json:"reason"`
	} `json:"moves"`
}

func (s site) moveStatus() moveStatus {
	var m moveStatus
	ran, err := s.Binaries.Run(s.Context(), "dotterelctl", "status", "--json", "--log", string(s.Log.Address()))
	s.Assert(err, qt.IsNil)
	s.Assert(json.Unmarshal([]byte(ran.Output), &m), qt.IsNil, qt.Commentf("%s", ran.Output))
	return m
}

// awaitMoveEnd waits until the move has ended and returns its final state.
func (s site) awaitMoveEnd() string {
	s.Helper()
	state := ""
	err := prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: moveDeadline + awaitTimeout, Interval: statusInterval}, "the move has ended", func() bool {
		m := s.moveStatus()
		state = ""
		if len(m.Moves) > 0 {
			state = m.Moves[0].State
		}
		return state == "done" || state == "undone"
	})
	s.RecordAction("the move is %q: %+v", state, s.moveStatus())
	s.Assert(err, qt.IsNil)
	return state
}

// awaitCanary waits until the move gives the new version a share, and returns the host whose mover is active.
func (s site) awaitCanary() *prover.Entry {
	s.Helper()
	var m moveStatus
	err := prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: awaitTimeout, Interval: statusInterval}, "the new version gets a share", func() bool {
		m = s.moveStatus()
		return len(m.Moves) > 0 && m.Moves[0].Share > 0
	})
	s.Assert(err, qt.IsNil)
	for _, e := range s.Entries {
		if string(e.Host.ID) == m.ActiveMover {
			return e
		}
	}
	s.Fatalf("the active mover is on %q, which is not a host of the site", m.ActiveMover)
	return nil
}

// checkNewVersionRuns checks that new requests run only on the new version.
func (s site) checkNewVersionRuns() {
	s.Helper()
	for i, e := range s.Entries {
		call := plan(fmt.Sprintf("after the move %d", i), 10)
		s.checkCompletedOnce(call, s.send(call, e))
		for _, r := range s.RunsOf(call.Request.Key) {
			s.Check(r.Version, qt.Equals, newVersion)
		}
	}
}

func TestGoodVersionIsDoneByTheDeadline(t *testing.T) {
	s, l := startSiteWithMovers(t, nil)
	s.publishNote()
	s.Check(s.awaitMoveEnd(), qt.Equals, "done")
	s.checkNewVersionRuns()
	s.checkCompleted(l.stopAndWait(), everyRequest)
}

func TestMoveOutlivesItsMover(t *testing.T) {
	s, l := startSiteWithMovers(t, nil)
	s.publishNote()
	active := s.awaitCanary()
	s.RecordAction("kill the mover of %s", active.Host.ID)
	s.Assert(active.Mover.Signal(syscall.SIGKILL), qt.IsNil)
	s.Check(s.awaitMoveEnd(), qt.Equals, "done")
	s.checkNewVersionRuns()
	s.checkCompleted(l.stopAndWait(), everyRequest)
}

// TestPausedMoverGivesNoOldOrders resumes a paused mover after another has taken over: no engine accepts an order with an
// older fencing token.
func TestPausedMoverGivesNoOldOrders(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check the fence %t", checksFence), func(t *testing.T) {
			s, l := startSiteWithMovers(t, func(e *standin.Engine) { e.ChecksFence = checksFence })
			s.publishNote()
			active := s.awaitCanary()
			s.RecordAction("pause the mover of %s", active.Host.ID)
			s.Assert(active.Mover.Signal(syscall.SIGSTOP), qt.IsNil)
			s.await("another mover is active", func() bool { return s.moveStatus().ActiveMover != string(active.Host.ID) })
			s.RecordAction("resume it")
			s.Assert(active.Mover.Signal(syscall.SIGCONT), qt.IsNil)
			s.Check(s.awaitMoveEnd(), qt.Equals, "done")
			s.checkCompleted(l.stopAndWait(), everyRequest)
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
		inject func(site) func()
	}{
		{name: "fails at once", bad: standin.Behaviour{Trigger: standin.AtOnce{}}},
		{name: "slow at once", bad: standin.Behaviour{Trigger: standin.AtOnce{}, SlowFactor: 10}},
		{name: "fails later", bad: standin.Behaviour{Trigger: standin.AfterRequests{Count: 15}}},
		{name: "fails under load", bad: standin.Behaviour{Trigger: standin.UnderLoad{Running: 2}}},
		{name: "fails on one route", bad: standin.Behaviour{Trigger: standin.OnRoute{Route: "season-plan"}}},
		{name: "fails at once while the log is down", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, inject: logDown},
		{name: "fails at once while its mover is paused", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, inject: moverPaused},
		{name: "fails at once beside a killed entry host", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, inject: killAndDrop},
		{name: "fails at once beside silent connections", bad: standin.Behaviour{Trigger: standin.AtOnce{}}, inject: both(peersSilent, enginesSilent)},
		{
			name:   "fails at once while the log is down and an entry host is killed",
			bad:    standin.Behaviour{Trigger: standin.AtOnce{}},
			inject: both(logDown, killAndDrop),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, l := startSiteWithMovers(t, func(e *standin.Engine) {
				e.Behaviours = map[string]standin.Behaviour{newVersion: test.bad}
			})
			s.publishNote()
			if test.inject != nil {
				s.awaitCanary()
				heal := test.inject(s)
				s.awaitBadRuns(1)
				s.awaitNoBadRuns()
				if heal != nil {
					heal()
				}
			}
			s.Check(s.awaitMoveEnd(), qt.Equals, "undone")
			undone := time.Now()
			s.awaitRuns(len(s.Runs()) + runsAfter)
			l.stopAndWait()
			s.Check(s.badRuns() > 0, qt.IsTrue)
			for _, r := range s.Runs() {
				late := r.Version == newVersion && r.Started.After(undone.Add(stopTimeout))
				s.Check(late, qt.IsFalse, qt.Commentf("%s ran on the bad version after the move was undone", r.Key))
			}
			s.Check(standin.DuplicateKeys(s.Runs()), qt.HasLen, 0)
			again := plan("after the bad version", 10)
			s.checkCompletedOnce(again, s.send(again, s.Entries[0]))
		})
	}
}

// badRuns returns the number of runs that have started on the new version.
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

// awaitNoBadRuns waits until many requests have run since the last run on the bad version.
func (s site) awaitNoBadRuns() {
	const otherRuns = 2 * moveRate
	s.Helper()
	bad, all := s.badRuns(), len(s.Runs())
	s.await("the bad version gets no new requests", func() bool {
		if n := s.badRuns(); n != bad {
			bad, all = n, len(s.Runs())
		}
		return len(s.Runs()) >= all+otherRuns
	})
}

// moverPaused pauses the active mover for longer than its lease.
func moverPaused(s site) func() {
	active := s.awaitCanary()
	s.RecordAction("pause the mover of %s", active.Host.ID)
	s.Assert(active.Mover.Signal(syscall.SIGSTOP), qt.IsNil)
	return func() { s.Assert(active.Mover.Signal(syscall.SIGCONT), qt.IsNil) }
}
