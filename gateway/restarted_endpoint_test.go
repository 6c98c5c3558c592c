package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/registrar"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
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

// A request was suspected of the crash of a start of its endpoint that it had never been sent to, and its answer didn't clear it.
func TestACrashOfAnEarlierStartIsNoEvidenceAgainstRunsOnTheNextOne(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	first := time.UnixMilli(1_700_000_000_000)
	second := first.Add(time.Minute)
	s.endpoint("i-2", "plain", answerHello)
	waits, answer := make(chan struct{}, 2), make(chan struct{})
	start := func(born time.Time, handler standin.Handler) *standin.Endpoint {
		e := standin.StartEndpoint("i-1", "model", handler)
		t.Cleanup(e.Close)
		s.registerStart(e, e.Address(), born)
		return e
	}
	crashing := start(first, func(http.ResponseWriter, *http.Request, int) {
		waits <- struct{}{}
		<-answer
		standin.AbortResponse()
	})
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.waitForStart(g, "i-1", first)
	answers := make(chan int, 2)
	ask := func(part string) {
		r := s.request(context.Background(), g, http.MethodPost, "/plan/"+part, part)
		r.Header.Set("Dotterelpulley-Prompt-Prefix", part+":100,own:100")
		go func() { answers <- s.send(r).status }()
		<-waits
	}
	ask(deadlyPart)
	start(second, func(w http.ResponseWriter, _ *http.Request, _ int) {
		waits <- struct{}{}
		<-answer
		standin.WriteEvents(w, 1, 3)
	})
	s.waitForStart(g, "i-1", second)
	ask(firstPart)
	crashing.Crash()
	facts := func(part string) []isolator.PartFact {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return g.isolations[promptParts].FactsOf(time.Now(), partOfID(part))
	}
	s.Assert(<-answers, qt.Not(qt.Equals), http.StatusOK)
	innocent := facts(firstPart)
	close(answer)
	s.Assert(<-answers, qt.Equals, http.StatusOK)
	s.Assert(innocent, qt.HasLen, 0)
	s.Assert(facts(deadlyPart), qt.HasLen, 1)
	s.Assert(facts(deadlyPart)[0].Incident, qt.Equals, isolator.Incident(registrar.InstanceOf("i-1", first)))
}

// Hosts of builds up to 164c83d name the endpoint of a crash by its id alone, so that all crashes of one that starts again under it
// counted as one.
func TestCrashesOfTheStartsOfAnEndpointThatEarlierBuildsReportCountEach(t *testing.T) {
	c := qt.New(t)
	g := New(platform.Settings{Host: "host-1"}, &log.Logger{Level: log.PanicLevel})
	defer func() { c.Check(g.Close(), qt.IsNil) }()
	now := time.Now()
	for i := range int64(3) {
		at := now.Add(time.Duration(i) * 10 * time.Second)
		registration := registrar.Registration{Endpoint: dotterelpulley.Endpoint{ID: "i-1"}, StartedAt: at, Sequence: 1}
		g.registry.ApplyStore(at, registrar.Batch{Era: 1, Records: []registrar.Record{{Registration: registration, Written: i + 1}}})
		g.receiveIsolations(at, announcer.Digest{
			Host:    announcer.Host{ID: "host-2"},
			Crashes: []announcer.Crash{{Fingerprint: 7, Attempt: uint64(i), Endpoint: scheduler.EndpointKey("i-1")}},
		})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c.Assert(g.isolations[wholeRequests].State(now.Add(20*time.Second), 7), qt.Equals, isolator.IsolatedPart)
}
