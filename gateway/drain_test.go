package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/drainer"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// The steady clock decides how long a host drains; the time of day may jump meanwhile.
func TestADrainAdmitsByTheSteadyClock(t *testing.T) {
	c := qt.New(t)
	var d drainState
	now := time.Now()
	const timeout = 7 * time.Second
	ends := now.Add(timeout)
	c.Assert(d.admits(now, now.Add(time.Hour)), qt.IsTrue)
	d.start(now, timeout)
	c.Assert(d.started(), qt.IsTrue)
	c.Assert(d.admits(now.Add(drainer.AdmissionTime), ends.Add(time.Hour)), qt.IsTrue)
	c.Assert(d.admits(now.Add(drainer.AdmissionTime+1), ends.Add(1)), qt.IsFalse)
	c.Assert(d.admits(now.Add(drainer.AdmissionTime+1), ends), qt.IsTrue)
	d.start(now.Add(time.Hour), timeout)
	c.Assert(d.admits(now.Add(drainer.AdmissionTime+1), ends.Add(1)), qt.IsFalse, qt.Commentf("a second signal changes nothing"))
}

// Requests that came late in a planned stop were passed on and ended with the host, with an outcome that nobody knew.
func TestARequestThatMayOutlastTheStopIsRefusedBeforeItRuns(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	plain, model := s.endpoint("i-1", "plain", answerHello), s.endpoint("i-2", "model", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	g.drain.start(time.Now().Add(-drainer.AdmissionTime-time.Second), 7*time.Second)
	for _, path := range []string{"/call/", "/lookup/", "/plan/", "/advice/"} {
		a := s.post(g, path, "book")
		s.Check(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", path))
		s.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", path))
	}
	s.Assert(plain.Received(), qt.HasLen, 0)
	s.Assert(model.Received(), qt.HasLen, 0)

	short := s.request(t.Context(), g, http.MethodPost, "/call/", "book")
	short.Header.Set("Dotterelpulley-Deadline-Ms", "1000")
	s.Assert(s.send(short).status, qt.Equals, http.StatusOK)
}

// A request that waits for a slot until it may outlast the stop isn't passed on either.
func TestARequestThatWaitsTooLongInAStopIsRefusedBeforeItRuns(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-0", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.store.Put(platform.EndpointsTopic, "i-0", nil)
	s.waitFor("no endpoint is left", func() bool { return len(registrations(g)) == 0 })
	got := make(chan answer, 1)
	r := s.request(t.Context(), g, http.MethodPost, "/call/", "book")
	go func() { got <- s.send(r) }()
	s.waitFor("the request waits", func() bool { return g.inFlight.Load() == 1 })
	g.drain.start(time.Now().Add(-drainer.AdmissionTime-time.Second), 7*time.Second)
	e := s.endpoint("i-1", "plain", answerHello)
	a := <-got
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(e.Received(), qt.HasLen, 0)
}

// A host that another one asks for help late in its stop leaves the request to that one.
func TestAForwardedRequestThatMayOutlastTheStopIsNotRun(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitForAllowance(g, 20)
	}
	hosts[1].drain.start(time.Now().Add(-drainer.AdmissionTime-time.Second), 7*time.Second)
	r := s.request(t.Context(), hosts[1], http.MethodPost, "/call/", "book")
	r.URL.Host = string(hosts[1].peers.self().PeerAddress)
	r.Header.Set(headerForwarded, "5")
	a := s.send(r)
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get(headerRefusal), qt.Equals, "draining")
	s.Assert(e.Received(), qt.HasLen, 0)
}
