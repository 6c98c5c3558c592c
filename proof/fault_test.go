package proof

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/loader"
)

const (
	loadDuration     = 4 * time.Second
	recoveryDuration = 2 * time.Second
	// runsBefore is the number of runs to await before a fault, runsDuring the number to await before it heals.
	runsBefore = 30
	runsDuring = 30
)

// fault is a fault to inject under load.
type fault struct {
	name string
	// inject causes the fault and returns the function that heals it, or nil.
	inject func(site) (heal func())
	// mustComplete selects the requests that must get a complete answer despite the fault.
	mustComplete func(loader.Result) bool
	// detectionTime is the time that the entry hosts may take to detect the fault.
	detectionTime time.Duration
	// mayLoseRequests reports whether requests may be lost before an endpoint has read them.
	mayLoseRequests bool
}

func noRequest(loader.Result) bool {
	return false
}

func noFault(site) func() {
	return nil
}

var faults = []fault{
	{name: "nothing", inject: noFault, mustComplete: everyRequest},
	{name: "entry host killed and dropped", inject: killAndDrop, mustComplete: noRequest},
	{name: "entry host killed and started again", inject: killAndRestart, mustComplete: noRequest},
	{name: "entry host paused and woken", inject: pause, mustComplete: noRequest},
	{name: "log down", inject: logDown, mustComplete: urgent},
	{name: "log slow", inject: logSlow, mustComplete: everyRequest},
	{name: "answers of the log lost", inject: logAnswersLost, mustComplete: everyRequest},
	{name: "host list down", inject: hostListDown, mustComplete: everyRequest},
	{name: "connections between entry hosts silent", inject: peersSilent, mustComplete: everyRequest},
	{name: "connections between entry hosts cut", inject: peersCut, mustComplete: everyRequest},
	{name: "connections to engines silent", inject: enginesSilent, mustComplete: everyRequest},
	{name: "callers cut off", inject: callersCut, mustComplete: everyRequest},
	{name: "engine crashes and comes back", inject: engineCrash, mustComplete: noRequest},
	{name: "engine slow and lying", inject: engineSlow, mustComplete: everyRequest},
	{name: "operators race", inject: operatorsRace, mustComplete: everyRequest},
	{name: "log down and entry host killed", inject: both(logDown, killAndDrop), mustComplete: noRequest},
	{name: "log answers lost and entry host paused", inject: both(logAnswersLost, pause), mustComplete: noRequest},
}

// TestFaultUnderLoad injects each fault under load: no key runs twice, no answer is wrong, missing or false about
// whether the request ran, and after the fault every request gets a complete answer.
func TestFaultUnderLoad(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			s := startSite(t)
			l := s.startLoad(loadDuration, s.Entries)
			s.awaitRuns(runsBefore)
			s.RecordAction("inject fault: %s", f.name)
			heal := f.inject(s)
			if heal != nil {
				s.awaitRuns(len(s.Runs()) + runsDuring)
				s.RecordAction("heal")
				heal()
			}
			s.checkCompleted(l.wait(), f.mustComplete)
			after := s.startLoad(recoveryDuration, s.runningEntries())
			s.checkCompleted(after.wait(), everyRequest)
		})
	}
}

// awaitRuns waits until n runs have started.
func (s site) awaitRuns(n int) {
	s.Helper()
	s.await("runs have started", func() bool { return len(s.Runs()) >= n })
}

// runningEntries returns the entry hosts whose processes are running.
func (s site) runningEntries() []*prover.Entry {
	var entries []*prover.Entry
	for _, e := range s.Entries {
		select {
		case <-e.Exited():
		default:
			entries = append(entries, e)
		}
	}
	return entries
}

func (s site) kill(e *prover.Entry) {
	s.RecordAction("kill %s", e.Host.ID)
	s.Assert(e.Signal(syscall.SIGKILL), qt.IsNil)
	<-e.Exited()
}

func killAndDrop(s site) func() {
	target := s.Entries[1]
	s.kill(target)
	s.RemoveHost(target.Host)
	for _, e := range s.runningEntries() {
		s.await("the other hosts have detected the removal", func() bool { return e.Status().EntryHosts == len(s.Entries)-1 })
	}
	return nil
}

func killAndRestart(s site) func() {
	target := s.Entries[1]
	s.kill(target)
	s.RecordAction("restart %s", target.Host.ID)
	s.Assert(target.Start(), qt.IsNil)
	s.await("the host is ready again", target.Ready)
	return nil
}

func pause(s site) func() {
	target := s.Entries[1]
	s.RecordAction("pause %s", target.Host.ID)
	s.Assert(target.Signal(syscall.SIGSTOP), qt.IsNil)
	return func() { s.Assert(target.Signal(syscall.SIGCONT), qt.IsNil) }
}

func logDown(s site) func() {
	s.Log.Stop()
	return func() { s.Assert(s.Log.Resume(), qt.IsNil) }
}

func logSlow(s site) func() {
	s.Log.Delay(time.Second)
	return func() { s.Log.Delay(0) }
}

func logAnswersLost(s site) func() {
	s.Log.LoseAnswers(3)
	return nil
}

func hostListDown(s site) func() {
	s.Hosts.Stop()
	return func() { s.Assert(s.Hosts.Resume(), qt.IsNil) }
}

func peersSilent(s site) func() {
	for _, e := range s.Entries {
		s.RecordAction("silenced %d connections to %s", e.PeerProxy.SilenceConnections(), e.Host.ID)
	}
	return nil
}

func peersCut(s site) func() {
	for _, e := range s.Entries {
		s.RecordAction("cut %d connections to %s", e.PeerProxy.CloseConnections(), e.Host.ID)
	}
	return nil
}

func enginesSilent(s site) func() {
	for _, e := range s.Engines {
		s.RecordAction("silenced %d connections to %s", e.SilenceConnections(), e.ID)
	}
	return nil
}

func enginesCut(s site) func() {
	for _, e := range s.Engines {
		e.CloseConnections()
	}
	return nil
}

func callersCut(s site) func() {
	for _, e := range s.Entries {
		s.RecordAction("cut %d callers of %s", e.CallerProxy.CloseConnections(), e.Host.ID)
	}
	return nil
}

func engineCrash(s site) func() {
	s.Engines[0].CrashOn("", 500*time.Millisecond)
	s.Engines[0].Crash()
	return nil
}

func engineSlow(s site) func() {
	s.Engines[0].SlowDown(5)
	s.Engines[0].ReportIdle()
	return nil
}

func both(one, other func(site) func()) func(site) func() {
	return func(s site) func() {
		heals := []func(){one(s), other(s)}
		return func() {
			for _, heal := range heals {
				if heal != nil {
					heal()
				}
			}
		}
	}
}

// TestLeavingEndpointGetsNoNewWork has one endpoint report that it is leaving and the host list mark another as leaving,
// during another fault.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, f := range []fault{
		{name: "nothing", inject: noFault, mustComplete: everyRequest},
		{name: "log down", inject: logDown, mustComplete: urgent},
		{name: "answers of the log lost", inject: logAnswersLost, mustComplete: everyRequest},
		{name: "entry host killed and dropped", inject: killAndDrop, mustComplete: noRequest},
		{name: "entry host killed and started again", inject: killAndRestart, mustComplete: noRequest},
		{name: "engine slow and lying", inject: engineSlow, mustComplete: everyRequest},
		{name: "engine crashes and comes back", inject: engineCrash, mustComplete: noRequest},
		{name: "connections to engines silent", inject: enginesSilent, mustComplete: everyRequest},
		{name: "connections between entry hosts silent", inject: peersSilent, mustComplete: everyRequest},
		{name: "operators race", inject: operatorsRace, mustComplete: everyRequest},
		{name: "log down and entry host killed", inject: both(logDown, killAndDrop), mustComplete: noRequest},
	} {
		t.Run(f.name, func(t *testing.T) { testLeaving(t, f) })
	}
}

func testLeaving(t *testing.T, f fault) {
	const detectionTimeout = 3 * time.Second
	s := startSite(t)
	l := s.startLoad(2*loadDuration, s.Entries)
	s.awaitRuns(runsBefore)
	f.inject(s)
	reporting, listed := s.Engines[0], s.Engines[1]
	s.RecordAction("%s reports that it is leaving; the host list marks %s as leaving", reporting.ID, listed.ID)
	reporting.ReportLeaving()
	for _, h := range s.Hosts.Visible() {
		if h.ID == dotterelpulley.HostID(listed.ID) {
			h.State = dotterelpulley.EndpointLeaving
			s.Hosts.Set(h)
		}
	}
	cutoff := time.Now().Add(detectionTimeout)
	s.checkCompleted(l.wait(), f.mustComplete)
	lateRuns := 0
	for _, r := range s.Runs() {
		if r.Started.Before(cutoff) {
			continue
		}
		lateRuns++
		s.Check(r.Endpoint, qt.Not(qt.Equals), string(reporting.ID))
		s.Check(r.Endpoint, qt.Not(qt.Equals), string(listed.ID))
	}
	s.Assert(lateRuns > 0, qt.IsTrue)
}
