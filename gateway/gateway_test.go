package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

func TestRequestsReachTheirServiceUnchanged(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	a := s.post(g, "/call/x%2Fy?q=1&r=%20", "body")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.status, qt.Equals, http.StatusOK)
	s.Assert(a.body, qt.Equals, "hello")
	s.Assert(a.header.Get("Dotterelpulley-Response-Stamp"), qt.Equals, "signature")
	got := e.Received()[0]
	s.Assert(got.Method, qt.Equals, http.MethodPost)
	s.Assert(got.Target, qt.Equals, "/call/x%2Fy?q=1&r=%20")
	s.Assert(got.Host, qt.Equals, "h.example")
	s.Assert(got.Body, qt.Equals, "body")
	s.Assert(got.Header.Get("Dotterelpulley-Tenant"), qt.Equals, "t1")
	s.Assert(got.Header.Get("Dotterelpulley-Expect-Instance"), qt.Equals, "i-1")
	s.Assert(got.Header.Get("Api-Key"), qt.Equals, "")
}

func TestRequestsThatTheConfigurationDoesNotAllowAreRefused(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.Assert(s.get(g, "/nowhere/").status, qt.Equals, http.StatusNotFound)
	r := s.request(context.Background(), g, http.MethodGet, "/lookup/", "")
	r.Header.Set("Api-Key", "other")
	s.Assert(s.send(r).status, qt.Equals, http.StatusUnauthorized)
	r = s.request(context.Background(), g, http.MethodGet, "/open/", "")
	r.Header.Del("Api-Key")
	s.Assert(s.send(r).status, qt.Equals, http.StatusOK)
	s.Assert(s.post(g, "/call/", strings.Repeat("x", 2000)).status, qt.Equals, http.StatusRequestEntityTooLarge)
	s.Assert(e.Received(), qt.HasLen, 1)
}

func TestCallThatMayHaveRunIsNotResent(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	one, two := s.endpoint("i-1", "plain", abort), s.endpoint("i-2", "plain", abort)
	g := s.startReadyGateway()
	a := s.post(g, "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusBadGateway)
	s.Assert(len(one.Received())+len(two.Received()), qt.Equals, 1)
}

func TestCallThatHasNotRunIsSentToAnotherEndpoint(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	refuse := func(w http.ResponseWriter, _ *http.Request, _ int) { standin.WriteNotExecuted(w) }
	one, two := s.endpoint("i-1", "plain", refuse), s.endpoint("i-2", "plain", refuse)
	g := s.startReadyGateway()
	a := s.post(g, "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.Assert(a.header.Get("Dotterelpulley-Response-Stamp"), qt.Equals, "")
	s.Assert(one.Received(), qt.HasLen, 1)
	s.Assert(two.Received(), qt.HasLen, 1)
}

func TestIdempotentRequestIsRetriedAfterAFailure(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request, n int) {
		if runs.Add(1) == 1 {
			standin.SignResponse(w)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		answerHello(w, r, n)
	}
	s.endpoint("i-1", "plain", handler)
	s.endpoint("i-2", "plain", handler)
	g := s.startReadyGateway()
	a := s.get(g, "/lookup/")
	s.Assert(a.status, qt.Equals, http.StatusOK)
	s.Assert(runs.Load(), qt.Equals, int64(2))
}

func TestUnsignedSuccessIsAFailure(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusOK) })
	g := s.startReadyGateway()
	s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusBadGateway)
}

// writeBrokenStream sends events from the first up to the last and aborts in the middle of the next one.
func writeBrokenStream(w http.ResponseWriter, last int) {
	standin.WriteEvents(w, 1, last)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", last+1)
	_ = http.NewResponseController(w).Flush()
	standin.AbortResponse()
}

// resumableSite returns a site whose first run aborts after two events; laterHandler handles the runs that resume after the caller's last event.
func resumableSite(t *testing.T, laterHandler standin.Handler) (*site, *Gateway) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request, n int) {
		if runs.Add(1) == 1 {
			writeBrokenStream(w, 2)
			return
		}
		laterHandler(w, r, n)
	}
	s.endpoint("i-1", "model", handler)
	s.endpoint("i-2", "model", handler)
	return s, s.startReadyGateway()
}

func TestBrokenStreamResumesOnAnotherEndpointWithoutGapsOrDuplicates(t *testing.T) {
	s, g := resumableSite(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Last-Event-Id") == "2" {
			standin.WriteEvents(w, 3, 4)
		}
	})
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n")
}

// Guards against a resumed stream whose second endpoint answers 500: the caller received this as the regular end of the stream.
func TestErrorResponseDoesNotCompleteABrokenStream(t *testing.T) {
	s, g := resumableSite(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNotNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n")
}

func TestBrokenStreamIsNotResumedOnANonResumableRoute(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	handler := func(w http.ResponseWriter, _ *http.Request, _ int) { writeBrokenStream(w, 2) }
	one, two := s.endpoint("i-1", "model", handler), s.endpoint("i-2", "model", handler)
	g := s.startReadyGateway()
	a := s.post(g, "/plan/", "prompt")
	s.Assert(a.err, qt.IsNotNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n")
	s.Assert(len(one.Received())+len(two.Received()), qt.Equals, 1)
}

func TestRunIsCancelledWhenItsCallerLeavesBeforeTheFirstEvent(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	started, ended := make(chan struct{}), make(chan struct{})
	s.endpoint("i-1", "model", func(_ http.ResponseWriter, r *http.Request, _ int) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	g := s.startReadyGateway()
	ctx, leave := context.WithCancel(context.Background())
	r := s.request(ctx, g, http.MethodPost, "/plan/", "prompt")
	left := make(chan answer)
	go func() { left <- s.send(r) }()
	<-started
	leave()
	s.Assert((<-left).err, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(conditionTimeout):
		s.Fatal("the run continues after its caller left")
	}
}

func TestUsageOverTheCapIsRefusedWithARetryDelay(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 2)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 2)
	refused := 0
	for range 20 {
		if a := s.get(g, "/lookup/"); a.status == http.StatusTooManyRequests {
			s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			refused++
		}
	}
	s.Assert(refused > 0, qt.IsTrue)
}

func TestKeysAreRefusedWhenTheConfigurationIsTooOld(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	s.waitFor("the configuration is too old", func() bool { return !g.configurationFresh() })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(s.get(g, "/nowhere/").status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(g.ready(time.Now()), qt.IsFalse)
	s.Assert(e.Received(), qt.HasLen, 1)
	s.store.SetFailureStatus(0)
	s.waitFor("the configuration is fresh again", func() bool { return g.configurationFresh() })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
}

func TestHostWithoutConfigurationRefusesWithARetryDelay(t *testing.T) {
	s := newSite(t)
	g := s.startGateway()
	a := s.get(g, "/lookup/")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Equals, "0.500")
	s.endpoint("i-1", "plain", answerHello)
	s.publishConfiguration(1, 1000)
	s.waitFor("the host is ready", func() bool { return g.ready(time.Now()) })
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(5, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.publishConfiguration(3, 1000)
	s.publishConfiguration(9, 1000)
	s.waitFor("the newer version is in force", func() bool { return g.table.Load().Version == 9 })
	s.store.Trim(platform.OperatorsTopic)
	s.publishConfiguration(8, 1000)
	s.publishConfiguration(10, 1000)
	s.waitFor("the newest version is in force", func() bool { return g.table.Load().Version == 10 })
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	one, two := s.endpoint("i-1", "plain", answerHello), s.endpoint("i-2", "plain", answerHello)
	g := s.startReadyGateway()
	one.Register(s.store, "draining")
	s.waitFor("the draining state is known", func() bool {
		known := registrations(g)
		return len(known) == 2 && known[0].State != known[1].State
	})
	s.waitForAllowance(g, 20)
	before := len(one.Received())
	for range 10 {
		s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	}
	s.Assert(len(one.Received()), qt.Equals, before)
	s.Assert(two.Received(), qt.HasLen, 10)
}

func TestARequestThatCrashesEndpointsIsRefused(t *testing.T) {
	const crashes = 3
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	suspects := suspectsOf(&request{organisation: "t1", method: http.MethodPost, target: "/call/", body: []byte("bad")})[wholeRequests]
	for i := range crashes {
		now := time.Now().Add(time.Duration(i-crashes) * time.Second)
		e := scheduler.Endpoint{Endpoint: dotterelpulley.Endpoint{ID: dotterelpulley.EndpointID(fmt.Sprintf("crashed-%d", i))}}
		g.mutex.Lock()
		g.isolations[wholeRequests].Begin(now, suspects, startOf(e), isolator.AttemptID(i), g.mayTryPart(now))
		g.mutex.Unlock()
		g.endpointCrashed(now, e)
	}
	a := s.post(g, "/call/", "bad")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(s.post(g, "/call/", "good").status, qt.Equals, http.StatusOK)
}
