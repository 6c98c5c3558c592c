package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// registerStart registers a start of an endpoint, at which it has the address.
func (s *site) registerStart(e *standin.Endpoint, address dotterelpulley.Address, born time.Time) {
	s.store.Put(platform.EndpointsTopic, string(e.ID), fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`,
		e.Service, address, born.UnixMilli()))
}

// waitForStart waits until the host knows the endpoint's start.
func (s *site) waitForStart(g *Gateway, id dotterelpulley.EndpointID, born time.Time) {
	s.waitFor("the host knows the start", func() bool {
		for _, e := range registrations(g) {
			if e.ID == id && e.StartedAt.UnixMilli() == born.UnixMilli() {
				return true
			}
		}
		return false
	})
}

// An endpoint that had started again under its id got no requests for ten minutes, or too few, as the last answer of its earlier
// start said that that one was leaving, or limited.
func TestTheLastWordOfAnEarlierStartIsNotHeededForTheNextOne(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	first := time.UnixMilli(1_700_000_000_000)
	second := first.Add(time.Minute)
	waits, answer := make(chan struct{}), make(chan struct{})
	e := standin.StartEndpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		close(waits)
		<-answer
		w.Header().Set("Server-Limit", "1")
		answerLeaving(w, r, n)
	})
	t.Cleanup(e.Close)
	s.registerStart(e, e.Address(), first)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.waitForStart(g, e.ID, first)
	status := make(chan int, 1)
	go func() { status <- s.get(g, "/lookup/").status }()
	<-waits
	s.registerStart(e, e.Address(), second)
	s.waitForStart(g, e.ID, second)
	close(answer)
	s.Assert(<-status, qt.Equals, http.StatusOK)
	s.Assert(isLeaving(g, e.ID), qt.IsFalse)
	g.registry.mutex.Lock()
	instance, ok := g.registry.Instance(e.ID)
	g.registry.mutex.Unlock()
	s.Assert(ok, qt.IsTrue)
	g.mutex.Lock()
	_, limited := g.apportioner.Share(apportioner.Key(instance))
	g.mutex.Unlock()
	s.Assert(limited, qt.IsFalse)
}
