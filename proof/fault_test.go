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
	loadTime  = 4 * time.Second
	afterTime = 2 * time.Second
	// runsBefore is how much has run before a fault, runsDuring how much runs until it heals.
	runsBefore = 30
	runsDuring = 30
)

// fault is something that goes wrong under load.
type fault struct {
	name string
	// strike makes it happen and returns what heals it, or nil.
	strike func(site) (heal func())
	// whole takes the requests that must be answered whole all the same.
	whole func(loader.Result) bool
	// notice is the time that the entry hosts may take to notice.
	notice time.Duration
	// losesOnTheWay tells that requests may be lost before an endpoint has read them.
	losesOnTheWay bool
}

func nothing(loader.Result) bool {
	return false
}

func nothingAtAll(site) func() {
	return nil
}

var faults = []fault{
	{name: "nothing", strike: nothingAtAll, whole: everyRequest},
	{name: "entry host killed and dropped", strike: killAndDrop, whole: nothing},
	{name: "entry host killed and started again", strike: killAndRestart, whole: nothing},
	{name: "entry host paused and woken", strike: pause, whole: nothing},
	{name: "log down", strike: logDown, whole: urgent},
	{name: "log slow", strike: logSlow, whole: everyRequest},
	{name: "answers of the log lost", strike: logAnswersLost, whole: everyRequest},
	{name: "host list down", strike: hostListDown, whole: everyRequest},
	{name: "connections between entry hosts silent", strike: peersSilent, whole: everyRequest},
	{name: "connections between entry hosts cut", strike: peersCut, whole: everyRequest},
	{name: "connections to engines silent", strike: enginesSilent, whole: everyRequest},
	{name: "callers cut off", strike: callersCut, whole: everyRequest},
	{name: "engine crashes and comes back", strike: engineCrash, whole: nothing},
	{name: "engine slow and lying", strike: engineSlow, whole: everyRequest},
	{name: "operators race", strike: operatorsRace, whole: everyRequest},
	{name: "log down and entry host killed", strike: both(logDown, killAndDrop), whole: nothing},
	{name: "log answers lost and entry host paused", strike: both(logAnswersLost, pause), whole: nothing},
}

// TestFaultUnderLoad strikes under load: whatever happens, no key runs twice, no
// answer is wrong, missing or untrue, and afterwards every request is answered whole.
func TestFaultUnderLoad(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			s := running(t)
			l := s.startLoad(loadTime, s.Entries)
			s.awaitRuns(runsBefore)
			s.RecordAction("strike: %s", f.name)
			heal := f.strike(s)
			if heal != nil {
				s.awaitRuns(len(s.Runs()) + runsDuring)
				s.RecordAction("heal")
				heal()
			}
			s.wholeWhere(l.wait(), f.whole)
			after := s.startLoad(afterTime, s.live())
			s.wholeWhere(after.wait(), everyRequest)
		})
	}
}

// awaitRuns waits until so many runs have begun.
func (s site) awaitRuns(n int) {
	s.Helper()
	s.await("runs have begun", func() bool { return len(s.Runs()) >= n })
}

// live returns the entry hosts whose processes run.
func (s site) live() []*prover.Entry {
	var live []*prover.Entry
	for _, e := range s.Entries {
		select {
		case <-e.Exited():
		default:
			live = append(live, e)
		}
	}
	return live
}

func (s site) kill(e *prover.Entry) {
	s.RecordAction("kill %s", e.Host.ID)
	s.Assert(e.Signal(syscall.SIGKILL), qt.IsNil)
	<-e.Exited()
}

func killAndDrop(s site) func() {
	victim := s.Entries[1]
	s.kill(victim)
	s.RemoveHost(victim.Host)
	for _, e := range s.live() {
		s.await("the others see that the host is gone", func() bool { return e.Status().EntryHosts == len(s.Entries)-1 })
	}
	return nil
}

func killAndRestart(s site) func() {
	victim := s.Entries[1]
	s.kill(victim)
	s.RecordAction("start %s again", victim.Host.ID)
	s.Assert(victim.Start(), qt.IsNil)
	s.await("the host is ready again", victim.Ready)
	return nil
}

func pause(s site) func() {
	victim := s.Entries[1]
	s.RecordAction("pause %s", victim.Host.ID)
	s.Assert(victim.Signal(syscall.SIGSTOP), qt.IsNil)
	return func() { s.Assert(victim.Signal(syscall.SIGCONT), qt.IsNil) }
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
		s.RecordAction("%d connections to %s go silent", e.PeerProxy.Silence(), e.Host.ID)
	}
	return nil
}

func peersCut(s site) func() {
	for _, e := range s.Entries {
		s.RecordAction("%d connections to %s are cut", e.PeerProxy.Cut(), e.Host.ID)
	}
	return nil
}

func enginesSilent(s site) func() {
	for _, e := range s.Engines {
		s.RecordAction("%d connections to %s go silent", e.SilenceConnections(), e.ID)
	}
	return nil
}

func enginesCut(s site) func() {
	for _, e := range s.Engines {
		e.CutConnections()
	}
	return nil
}

func callersCut(s site) func() {
	for _, e := range s.Entries {
		s.RecordAction("%d callers of %s are cut off", e.CallerProxy.Cut(), e.Host.ID)
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
	s.Engines[0].LieAboutLoad()
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

// TestLeavingEndpointGetsNoNewWork gives an endpoint's own sign and the host list's word, while something else goes wrong.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	for _, beside := range []fault{
		{name: "nothing", strike: nothingAtAll, whole: everyRequest},
		{name: "log down", strike: logDown, whole: urgent},
		{name: "answers of the log lost", strike: logAnswersLost, whole: everyRequest},
		{name: "entry host killed and dropped", strike: killAndDrop, whole: nothing},
		{name: "entry host killed and started again", strike: killAndRestart, whole: nothing},
		{name: "engine slow and lying", strike: engineSlow, whole: everyRequest},
		{name: "engine crashes and comes back", strike: engineCrash, whole: nothing},
		{name: "connections to engines silent", strike: enginesSilent, whole: everyRequest},
		{name: "connections between entry hosts silent", strike: peersSilent, whole: everyRequest},
		{name: "operators race", strike: operatorsRace, whole: everyRequest},
		{name: "log down and entry host killed", strike: both(logDown, killAndDrop), whole: nothing},
	} {
		t.Run(beside.name, func(t *testing.T) { testLeaving(t, beside) })
	}
}

func testLeaving(t *testing.T, beside fault) {
	const within = 3 * time.Second
	s := running(t)
	l := s.startLoad(2*loadTime, s.Entries)
	s.awaitRuns(runsBefore)
	beside.strike(s)
	signs, listed := s.Engines[0], s.Engines[1]
	s.RecordAction("%s signs that it leaves, the host list says so of %s", signs.ID, listed.ID)
	signs.Leave()
	for _, h := range s.Hosts.Visible() {
		if h.ID == dotterelpulley.HostID(listed.ID) {
			h.State = dotterelpulley.EndpointLeaving
			s.Hosts.Set(h)
		}
	}
	by := time.Now().Add(within)
	s.wholeWhere(l.wait(), beside.whole)
	later := 0
	for _, r := range s.Runs() {
		if r.Started.Before(by) {
			continue
		}
		later++
		s.Check(r.Endpoint, qt.Not(qt.Equals), string(signs.ID))
		s.Check(r.Endpoint, qt.Not(qt.Equals), string(listed.ID))
	}
	s.Assert(later > 0, qt.IsTrue)
}
