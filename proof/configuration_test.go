package proof

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
)

const inForceWithin = 7 * time.Second

func TestNewHostIsNotReadyWithoutConfiguration(t *testing.T) {
	s := place(t, nil)
	e := s.Entries[0]
	s.Assert(e.Start(), qt.IsNil)
	s.await("the host has read the host list", func() bool { return e.Status().EntryHosts > 0 })
	s.Check(e.Ready(), qt.IsFalse)
	refused := s.send(plan("early", 10), e)
	s.Check(refused.Completed, qt.IsFalse)
	s.publish(configuration)
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: inForceWithin}, "the host is ready", e.Ready), qt.IsNil)
}

func TestNewHostThatReachesNoSourceIsNotReady(t *testing.T) {
	const failedReads = 3
	s := running(t)
	for _, e := range s.Entries {
		e.PeerProxy.Refuse()
	}
	e, err := s.AddEntry()
	s.Assert(err, qt.IsNil)
	e.LogProxy.Refuse()
	s.RecordAction("start %s without log and peers", e.Host.ID)
	s.Assert(e.Start(), qt.IsNil)
	s.await("the new host has tried the log", func() bool { return e.Counter("retry-log-read") >= failedReads })
	s.Check(e.Ready(), qt.IsFalse)
	for _, other := range s.Entries[:3] {
		s.Assert(other.PeerProxy.Accept(), qt.IsNil)
	}
	s.Assert(e.LogProxy.Accept(), qt.IsNil)
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: inForceWithin}, "the host is ready", e.Ready), qt.IsNil)
}

func TestNewHostLearnsFromItsPeersWhenTheLogIsDown(t *testing.T) {
	s := running(t)
	newest := s.Entries[0].Status().Revision
	s.Log.Stop()
	e, err := s.AddEntry()
	s.Assert(err, qt.IsNil)
	s.RecordAction("start %s without the log", e.Host.ID)
	s.Assert(e.Start(), qt.IsNil)
	s.await("the new host is ready", e.Ready)
	s.Check(e.Status().Revision >= newest, qt.IsTrue)
	s.Check(newest > 0, qt.IsTrue)
	s.Assert(s.Log.Resume(), qt.IsNil)
}

// TestConfigurationIsInForceEverywhere publishes a change while something goes wrong, and starts a host again afterwards.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	for _, beside := range []fault{
		{name: "a host cut off the log", strike: cutOffTheLog},
		{name: "log slow", strike: logSlow},
		{name: "answers of the log lost", strike: logAnswersLost},
		{name: "entry host killed and dropped", strike: killAndDrop},
		{name: "entry host killed and started again", strike: killAndRestart},
		{name: "connections between entry hosts silent", strike: peersSilent},
		{name: "connections to the log silent", strike: logSilent},
		{name: "a host cut off the log and another killed", strike: both(cutOffTheLog, killAndDrop)},
	} {
		t.Run(beside.name, func(t *testing.T) {
			s := running(t)
			before := s.Entries[0].Status().Revision
			beside.strike(s)
			s.publish(s.edited("weight = 4", "weight = 5"))
			for _, e := range s.live() {
				s.inForce(e, before+1)
			}
			again := s.live()[0]
			s.kill(again)
			s.RecordAction("start %s again", again.Host.ID)
			s.Assert(again.Start(), qt.IsNil)
			s.await("the host is ready again", again.Ready)
			s.Check(again.Status().Revision > before, qt.IsTrue)
		})
	}
}

// inForce checks that the host has the revision, or a newer one, in time.
func (s site) inForce(e *prover.Entry, revision int64) {
	s.Helper()
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: inForceWithin}, string(e.Host.ID)+" has the change", func() bool {
		return e.Status().Revision >= revision
	}), qt.IsNil)
}

func cutOffTheLog(s site) func() {
	cut := s.Entries[2]
	s.RecordAction("%s is cut off the log", cut.Host.ID)
	cut.LogProxy.Refuse()
	return func() { s.Assert(cut.LogProxy.Accept(), qt.IsNil) }
}

func logSilent(s site) func() {
	s.RecordAction("%d connections to the log go silent", s.Log.SilenceConnections())
	return nil
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	operatorsRace(running(t))
}

// operatorsRace publishes two changes of one revision at once: one is accepted, the other told that it lost.
func operatorsRace(s site) func() {
	before := s.Entries[0].Status().Revision
	files := []string{s.edited("weight = 4", "weight = 6"), s.edited("weight = 4", "weight = 7")}
	ran := make([]prover.RunResult, len(files))
	var tasks conc.WaitGroup
	for i, file := range files {
		tasks.Go(func() {
			var err error
			ran[i], err = s.Binaries.Run(s.Context(), "dotterelctl", "publish", "--log", string(s.Log.Address()), "--base", strconv.FormatInt(before, 10), file)
			s.Check(err, qt.IsNil)
		})
	}
	tasks.Wait()
	codes := map[int]int{}
	for _, r := range ran {
		codes[r.ExitCode]++
	}
	s.Check(codes, qt.DeepEquals, map[int]int{0: 1, 3: 1}, qt.Commentf("%v", ran))
	for _, e := range s.Entries {
		s.inForce(e, before+1)
	}
	return nil
}

// edited returns a copy of the configuration with one text in the place of another.
func (s site) edited(old, text string) string {
	data, err := os.ReadFile(configuration)
	s.Assert(err, qt.IsNil)
	s.Assert(strings.Contains(string(data), old), qt.IsTrue)
	file := filepath.Join(s.TempDir(), "configuration.toml")
	changed := strings.ReplaceAll(string(data), old, text)
	s.Assert(os.WriteFile(file, []byte(changed), 0o600), qt.IsNil)
	return file
}
