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

const updateTimeout = 7 * time.Second

func TestNewHostIsNotReadyWithoutConfiguration(t *testing.T) {
	s := newSite(t, nil)
	e := s.Entries[0]
	s.Assert(e.Start(), qt.IsNil)
	s.await("the host has read the host list", func() bool { return e.Status().EntryHosts > 0 })
	s.Check(e.Ready(), qt.IsFalse)
	refused := s.send(plan("early", 10), e)
	s.Check(refused.Completed, qt.IsFalse)
	s.publish(configurationFile)
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: updateTimeout}, "the host is ready", e.Ready), qt.IsNil)
}

func TestNewHostThatReachesNoSourceIsNotReady(t *testing.T) {
	const failedReads = 3
	s := startSite(t)
	for _, e := range s.Entries {
		e.PeerProxy.Refuse()
	}
	e, err := s.AddEntry()
	s.Assert(err, qt.IsNil)
	e.LogProxy.Refuse()
	s.RecordAction("start %s without log and peers", e.Host.ID)
	s.Assert(e.Start(), qt.IsNil)
	s.await("the new host has tried to read the log", func() bool { return e.Counter("retry-log-read") >= failedReads })
	s.Check(e.Ready(), qt.IsFalse)
	for _, other := range s.Entries[:3] {
		s.Assert(other.PeerProxy.Accept(), qt.IsNil)
	}
	s.Assert(e.LogProxy.Accept(), qt.IsNil)
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: updateTimeout}, "the host is ready", e.Ready), qt.IsNil)
}

func TestNewHostLearnsFromItsPeersWhenTheLogIsDown(t *testing.T) {
	s := startSite(t)
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

// TestConfigurationIsInForceEverywhere publishes a change during a fault, and restarts a host afterwards.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	for _, f := range []fault{
		{name: "a host cut off the log", inject: logUnreachable},
		{name: "log slow", inject: logSlow},
		{name: "answers of the log lost", inject: logAnswersLost},
		{name: "entry host killed and dropped", inject: killAndDrop},
		{name: "entry host killed and started again", inject: killAndRestart},
		{name: "connections between entry hosts silent", inject: peersSilent},
		{name: "connections to the log silent", inject: logSilent},
		{name: "a host cut off the log and another killed", inject: both(logUnreachable, killAndDrop)},
	} {
		t.Run(f.name, func(t *testing.T) {
			s := startSite(t)
			before := s.Entries[0].Status().Revision
			f.inject(s)
			s.publish(s.editedConfiguration("weight = 4", "weight = 5"))
			for _, e := range s.runningEntries() {
				s.awaitRevision(e, before+1)
			}
			restarted := s.runningEntries()[0]
			s.kill(restarted)
			s.RecordAction("restart %s", restarted.Host.ID)
			s.Assert(restarted.Start(), qt.IsNil)
			s.await("the host is ready again", restarted.Ready)
			s.Check(restarted.Status().Revision > before, qt.IsTrue)
		})
	}
}

// awaitRevision checks that the host has the revision, or a newer one, within updateTimeout.
func (s site) awaitRevision(e *prover.Entry, revision int64) {
	s.Helper()
	s.Assert(prover.WaitUntil(s.Context(), prover.WaitOptions{Timeout: updateTimeout}, string(e.Host.ID)+" has the change", func() bool {
		return e.Status().Revision >= revision
	}), qt.IsNil)
}

func logUnreachable(s site) func() {
	isolated := s.Entries[2]
	s.RecordAction("cut %s off from the log", isolated.Host.ID)
	isolated.LogProxy.Refuse()
	return func() { s.Assert(isolated.LogProxy.Accept(), qt.IsNil) }
}

func logSilent(s site) func() {
	s.RecordAction("silenced %d connections to the log", s.Log.SilenceConnections())
	return nil
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	operatorsRace(startSite(t))
}

// operatorsRace publishes two changes to the same revision concurrently: one is accepted, the other reports a conflict.
func operatorsRace(s site) func() {
	before := s.Entries[0].Status().Revision
	files := []string{s.editedConfiguration("weight = 4", "weight = 6"), s.editedConfiguration("weight = 4", "weight = 7")}
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
		s.awaitRevision(e, before+1)
	}
	return nil
}

// editedConfiguration returns the path of a copy of the configuration file in which text replaces old.
func (s site) editedConfiguration(old, text string) string {
	data, err := os.ReadFile(configurationFile)
	s.Assert(err, qt.IsNil)
	s.Assert(strings.Contains(string(data), old), qt.IsTrue)
	file := filepath.Join(s.TempDir(), "configuration.toml")
	changed := strings.ReplaceAll(string(data), old, text)
	s.Assert(os.WriteFile(file, []byte(changed), 0o600), qt.IsNil)
	return file
}
