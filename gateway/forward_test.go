package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/rationer"
)

// forwardingSite returns two hosts before one endpoint, of which the first is cut off from it.
func forwardingSite(t *testing.T, service string, handler standin.Handler) (s *site, e *standin.Endpoint) {
	s = newSite(t)
	s.publishConfiguration(1, 1000)
	e = s.endpoint("i-1", service, handler)
	// Another endpoint shows that the links are lost, without taking requests.
	s.endpoint("i-0", "idle", answerHello)
	for _, g := range startHosts(s, 2) {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
		s.waitForAllowance(g, 100)
	}
	s.cutOff(0, dotterelpulley.ServiceID(service))
	return s, e
}

// cutOff cuts the host's links and waits until all hosts know it.
func (s *site) cutOff(host int, services ...dotterelpulley.ServiceID) {
	s.links[host].cut(linksRefuse, true)
	g := s.gateways[host]
	for _, service := range services {
		s.waitFor("the host notices that its links are lost", func() bool { return g.linksLost(service, "") })
	}
	g.peers.sendNow()
	for _, other := range s.gateways {
		if other != g {
			s.waitFor("the other hosts know it", func() bool {
				live := other.peers.liveHosts(time.Now())
				i := slices.IndexFunc(live, func(m announcer.Member) bool { return m.ID == g.settings.Host })
				return i >= 0 && len(live[i].UnreachableServices) >= len(services)
			})
		}
	}
}

func TestAForwardedRequestReachesItsEndpointUnchanged(t *testing.T) {
	s, e := forwardingSite(t, "plain", answerHello)
	a := s.post(s.gateways[0], "/call/x%2Fy?q=1", "body")
	s.Assert(a.status, qt.Equals, http.StatusOK)
	s.Assert(a.header.Get("Dotterelpulley-Response-Stamp"), qt.Equals, "signature")
	got := e.Received()
	s.Assert(got, qt.HasLen, 1)
	s.Assert(got[0].Target, qt.Equals, "/call/x%2Fy?q=1")
	s.Assert(got[0].Body, qt.Equals, "body")
	s.Assert(got[0].Host, qt.Equals, "h.example")
	s.Assert(got[0].Header.Get("Dotterelpulley-Tenant"), qt.Equals, "t1")
	s.Assert(got[0].Header.Get("Dotterelpulley-Expect-Instance"), qt.Equals, "i-1")
	for _, name := range []string{"Api-Key", headerForwarded, headerRefusal} {
		s.Assert(got[0].Header.Values(name), qt.HasLen, 0, qt.Commentf(name))
	}
}

// The answer of a call was lost on its way through another host: it may have run.
func TestAForwardedCallThatMayHaveRunIsNotResent(t *testing.T) {
	s, e := forwardingSite(t, "plain", abort)
	a := s.post(s.gateways[0], "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusBadGateway)
	s.Assert(e.Received(), qt.HasLen, 1)
}

// A repeatable request that goes through other hosts runs on no more endpoints than its route allows.
func TestAForwardedRequestKeepsItsRoutesAttempts(t *testing.T) {
	s, e := forwardingSite(t, "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	s.endpoint("i-2", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	s.Assert(s.get(s.gateways[0], "/lookup/").status, qt.Equals, http.StatusInternalServerError)
	s.Assert(len(e.Received()) <= 2, qt.IsTrue)
}

func TestRequestsGoInNoCircleWhenAllHostsAreCutOff(t *testing.T) {
	s, e := forwardingSite(t, "plain", answerHello)
	s.cutOff(1, "plain")
	a := s.post(s.gateways[0], "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.Assert(e.Received(), qt.HasLen, 0)
	// A request that another host has forwarded already goes no further.
	r := s.request(context.Background(), s.gateways[0], http.MethodPost, "/call/", "book")
	r.URL.Host = string(s.gateways[0].peers.self().PeerAddress)
	r.Header.Set(headerForwarded, "0")
	forwarded := s.send(r)
	s.Assert(forwarded.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(forwarded.header.Get(headerRefusal), qt.Equals, dotterelpulley.ErrorNoEndpoint.String())
}

func TestAForwardedRequestIsChargedOnce(t *testing.T) {
	s, _ := forwardingSite(t, "plain", answerHello)
	used := func() (sum rationer.Amount) {
		for _, g := range s.gateways {
			g.mutex.Lock()
			sum += g.rationer.LocalUsage()["t1"]
			g.mutex.Unlock()
		}
		return sum
	}
	before := used()
	s.Assert(s.post(s.gateways[0], "/call/", "book").status, qt.Equals, http.StatusOK)
	s.Assert(used()-before, qt.Equals, rationer.Amount(1))
}

// A refusal of the helper is passed on with its delay, and the request is refunded.
func TestARefusalOfAForwardedRequestIsPassedOn(t *testing.T) {
	s, e := forwardingSite(t, "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.WriteNotExecuted(w)
	})
	a := s.post(s.gateways[0], "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.Assert(a.header.Get(headerRefusal), qt.Equals, "")
	s.Assert(len(e.Received()) > 0, qt.IsTrue)
}

// The run of a forwarded request ends with its caller.
func TestAForwardedRunIsCancelledWhenItsCallerLeaves(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	s, _ := forwardingSite(t, "model", func(_ http.ResponseWriter, r *http.Request, _ int) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.send(s.request(ctx, s.gateways[0], http.MethodGet, "/plan/", ""))
	<-started
	cancel()
	<-ended
}

// A stream that breaks behind another host goes on at another endpoint without gaps.
func TestAForwardedStreamIsResumed(t *testing.T) {
	var requests atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request, _ int) {
		if requests.Add(1) == 1 {
			writeBrokenStream(w, 3)
			return
		}
		if r.Header.Get("Last-Event-Id") != "3" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		standin.WriteEvents(w, 4, 5)
	}
	s, _ := forwardingSite(t, "model", handler)
	s.endpoint("i-2", "model", handler)
	s.waitFor("the helper knows the second endpoint", func() bool { return len(registrations(s.gateways[1])) == 3 })
	a := s.get(s.gateways[0], "/advice/")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.status, qt.Equals, http.StatusOK)
	for i := range 5 {
		s.Assert(a.body, qt.Contains, []string{"piece-1\n", "piece-2\n", "piece-3\n", "piece-4\n", "piece-5\n"}[i])
	}
}

// A host that waits for an endpoint when its links are lost forwards what waits.
func TestRequestsThatWaitAreForwardedWhenTheLinksAreLost(t *testing.T) {
	release := make(chan struct{})
	var requests atomic.Int64
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		if requests.Add(1) <= 4 {
			<-release
		}
		answerHello(w, r, n)
	})
	s.endpoint("i-0", "idle", answerHello)
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
		s.waitForAllowance(g, 20)
	}
	got := make(chan answer, 5)
	for range 5 {
		r := s.request(context.Background(), hosts[0], http.MethodGet, "/open/", "")
		go func() { got <- s.send(r) }()
	}
	s.waitFor("the endpoint is full", func() bool { return requests.Load() == 4 })
	s.links[0].cut(linksRefuse, false)
	s.waitFor("the links are lost", func() bool { return hosts[0].linksLost("plain", "") })
	close(release)
	for range 5 {
		s.Assert((<-got).status, qt.Equals, http.StatusOK)
	}
}

// A repeatable request that was sent before the links were lost hung until its deadline.
func TestARepeatableRequestThatHangsIsForwarded(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	arrived := make(chan struct{})
	var requests atomic.Int64
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		if requests.Add(1) == 1 {
			close(arrived)
			<-r.Context().Done()
			return
		}
		answerHello(w, r, n)
	})
	s.endpoint("i-0", "idle", answerHello)
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
		s.waitForAllowance(g, 20)
	}
	got := make(chan answer, 1)
	r := s.request(context.Background(), hosts[0], http.MethodGet, "/lookup/", "")
	go func() { got <- s.send(r) }()
	<-arrived
	s.links[0].cut(linksHang, false)
	s.Assert((<-got).status, qt.Equals, http.StatusOK)
}

// A stream on a connection that hangs goes on through another host once the links are lost.
func TestAStreamThatHangsGoesOnThroughAnotherHost(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	begun := make(chan struct{})
	var requests atomic.Int64
	s.endpoint("i-1", "model", func(w http.ResponseWriter, r *http.Request, _ int) {
		if requests.Add(1) == 1 {
			standin.WriteEvents(w, 1, 3)
			close(begun)
			<-r.Context().Done()
			return
		}
		if r.Header.Get("Last-Event-Id") != "3" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		standin.WriteEvents(w, 4, 5)
	})
	s.endpoint("i-0", "idle", answerHello)
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
		s.waitForAllowance(g, 20)
	}
	got := make(chan answer, 1)
	r := s.request(context.Background(), hosts[0], http.MethodGet, "/advice/", "")
	go func() { got <- s.send(r) }()
	<-begun
	s.links[0].cut(linksHang, false)
	a := <-got
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Contains, "piece-5\n")
	s.Assert(strings.Count(a.body, "piece-"), qt.Equals, 5)
}

// A forwarded call that had run was refused as not run, as its deadline had passed at the other host.
func TestAForwardedCallWhoseDeadlinePassesIsNotRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	answerOf := func(proof string) http.Header { return http.Header{headerProof: {proof}} }
	earlierBuild := http.Header{}
	for _, kind := range dotterelpulley.ErrorKinds() {
		c.Check(hostProof(kind, answerOf(noProof), false), qt.IsNil, qt.Commentf("%s", kind))
		c.Check(hostProof(kind, answerOf("never-sent"), false), qt.Equals, proof(refusedByHost{theirs: "never-sent"}), qt.Commentf("%s", kind))
	}
	for _, kind := range []dotterelpulley.ErrorKind{
		dotterelpulley.ErrorDeadlinePassed, dotterelpulley.ErrorOutcomeUnknown, dotterelpulley.ErrorCut, dotterelpulley.ErrorRunFailed,
		dotterelpulley.ErrorCancelled, dotterelpulley.ParseErrorKind("unknown"),
	} {
		c.Check(hostProof(kind, earlierBuild, false), qt.IsNil, qt.Commentf("%s", kind))
	}
	for _, kind := range []dotterelpulley.ErrorKind{dotterelpulley.ErrorIsolated, dotterelpulley.ErrorUnknownService, dotterelpulley.ErrorDraining, dotterelpulley.ErrorNoEndpoint} {
		c.Check(hostProof(kind, earlierBuild, false), qt.IsNotNil, qt.Commentf("%s", kind))
	}

	s, e := forwardingSite(t, "plain", func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	for sent := 1; sent <= 3; sent++ {
		r := s.request(context.Background(), s.gateways[0], http.MethodPost, "/call/", "book")
		r.Header.Set("Dotterelpulley-Deadline-Ms", "150")
		s.Assert(s.send(r).status, qt.Not(qt.Equals), http.StatusServiceUnavailable)
		s.Assert(e.Received(), qt.HasLen, sent)
	}
}
