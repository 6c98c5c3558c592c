package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

func answerLeaving(w http.ResponseWriter, r *http.Request, n int) {
	w.Header().Set("Server-Leaving", "1")
	answerHello(w, r, n)
}

func isLeaving(g *Gateway, id dotterelpulley.EndpointID) bool {
	for _, e := range registrations(g) {
		if e.ID == id {
			return e.State == dotterelpulley.EndpointLeaving
		}
	}
	return false
}

func TestAnEndpointThatSaysItLeavesGetsNoMoreRequestsFromAnyHost(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	leaving := s.endpoint("i-1", "plain", answerLeaving)
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitForAllowance(g, 50)
	}
	s.Assert(s.get(hosts[0], "/lookup/").status, qt.Equals, http.StatusOK)
	s.endpoint("i-2", "plain", answerHello)
	for _, g := range hosts {
		s.waitFor("the host knows", func() bool { return isLeaving(g, "i-1") && len(registrations(g)) == 2 })
	}
	// The store knows nothing of it yet, or says otherwise.
	leaving.Register(s.store, "ready")
	before := len(leaving.Received())
	for range 10 {
		for _, g := range hosts {
			s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
		}
	}
	s.Assert(leaving.Received(), qt.HasLen, before)
}

// The word of another instance at the endpoint's address says nothing of the endpoint.
func TestTheWordOfAnotherInstanceIsNotHeeded(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	g := s.startReadyGateway()
	s.post(g, "/call/", "book")
	s.Assert(isLeaving(g, "i-1"), qt.IsFalse)
}

func TestAnEndpointThatAsksForAPauseGetsIt(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	paused := s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "600")
		standin.WriteNotExecuted(w)
	})
	g := s.startReadyGateway()
	s.waitForAllowance(g, 30)
	a := s.post(g, "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.endpoint("i-2", "plain", answerHello)
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	send := func() {
		for range 10 {
			s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
		}
		s.Assert(paused.Received(), qt.HasLen, 1)
	}
	send()
	s.store.Put(platform.EndpointsTopic, "i-1", nil)
	s.waitFor("the endpoint's registration has expired", func() bool { return len(registrations(g)) == 1 })
	paused.Register(s.store, "ready")
	s.waitFor("it is registered again", func() bool { return len(registrations(g)) == 2 })
	g.Reload()
	send()
}
