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
)

func TestRequestsReachTheirServiceUnchanged(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	e := s.endpoint("i-1", "plain", hello)
	g := s.gateway()
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

func TestRequestsThatNoConfigurationAllowsAreRefused(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	e := s.endpoint("i-1", "plain", hello)
	g := s.gateway()
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

func TestACallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	one, two := s.endpoint("i-1", "plain", cut), s.endpoint("i-2", "plain", cut)
	g := s.gateway()
	a := s.post(g, "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusBadGateway)
	s.Assert(len(one.Received())+len(two.Received()), qt.Equals, 1)
}

func TestACallThatHasNotRunGoesElsewhere(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	full := func(w http.ResponseWriter, _ *http.Request, _ int) { standin.WriteNotExecuted(w) }
	one, two := s.endpoint("i-1", "plain", full), s.endpoint("i-2", "plain", full)
	g := s.gateway()
	a := s.post(g, "/call/", "book")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	s.Assert(a.header.Get("Dotterelpulley-Response-Stamp"), qt.Equals, "")
	s.Assert(one.Received(), qt.HasLen, 1)
	s.Assert(two.Received(), qt.HasLen, 1)
}

func TestALookupIsRepeatedAfterAFailure(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	var runs atomic.Int64
	behave := func(w http.ResponseWriter, r *http.Request, n int) {
		if runs.Add(1) == 1 {
			standin.SignResponse(w)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		hello(w, r, n)
	}
	s.endpoint("i-1", "plain", behave)
	s.endpoint("i-2", "plain", behave)
	g := s.gateway()
	a := s.get(g, "/lookup/")
	s.Assert(a.status, qt.Equals, http.StatusOK)
	s.Assert(runs.Load(), qt.Equals, int64(2))
}

func TestASuccessWithoutASignatureIsNoAnswer(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusOK) })
	g := s.gateway()
	s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusBadGateway)
}

// broken sends events up to the last and breaks off in the middle of the next.
func broken(w http.ResponseWriter, from, last int) {
	standin.WriteEvents(w, from, last)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: pie", last+1)
	_ = http.NewResponseController(w).Flush()
	standin.AbortResponse()
}

// following breaks the first run off after two events; the next one goes on after the last event that the caller has.
func following(t *testing.T, rest standin.Handler) (*site, *Gateway) {
	s := newSite(t)
	s.configure(1, 1000)
	var runs atomic.Int64
	behave := func(w http.ResponseWriter, r *http.Request, n int) {
		if runs.Add(1) == 1 {
			broken(w, 1, 2)
			return
		}
		rest(w, r, n)
	}
	s.endpoint("i-1", "model", behave)
	s.endpoint("i-2", "model", behave)
	return s, s.gateway()
}

func TestABrokenStreamGoesOnElsewhereWithoutAGapOrADouble(t *testing.T) {
	s, g := following(t, func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Last-Event-Id") == "2" {
			standin.WriteEvents(w, 3, 4)
		}
	})
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n")
}

// The endpoint where a stream went on answered 500, which the caller got as the whole stream's end.
func TestAFailureIsNotTheRestOfAStream(t *testing.T) {
	s, g := following(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNotNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n")
}

func TestAStreamThatMayNotGoOnEndsBroken(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	behave := func(w http.ResponseWriter, _ *http.Request, _ int) { broken(w, 1, 2) }
	one, two := s.endpoint("i-1", "model", behave), s.endpoint("i-2", "model", behave)
	g := s.gateway()
	a := s.post(g, "/plan/", "prompt")
	s.Assert(a.err, qt.IsNotNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n")
	s.Assert(len(one.Received())+len(two.Received()), qt.Equals, 1)
}

func TestARunEndsWhenItsCallerLeavesBeforeTheFirstEvent(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	began, ended := make(chan struct{}), make(chan struct{})
	s.endpoint("i-1", "model", func(_ http.ResponseWriter, r *http.Request, _ int) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	g := s.gateway()
	ctx, leave := context.WithCancel(context.Background())
	r := s.request(ctx, g, http.MethodPost, "/plan/", "prompt")
	left := make(chan answer)
	go func() { left <- s.send(r) }()
	<-began
	leave()
	s.Assert((<-left).err, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(conditionLimit):
		s.Fatal("the endpoint still runs what nobody waits for")
	}
}

func TestUseBeyondTheCapIsRefusedWithWhenToComeBack(t *testing.T) {
	s := newSite(t)
	s.configure(1, 2)
	s.endpoint("i-1", "plain", hello)
	g := s.gateway()
	s.saved(g, 2)
	refused := 0
	for range 20 {
		if a := s.get(g, "/lookup/"); a.status == http.StatusTooManyRequests {
			s.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			refused++
		}
	}
	s.Assert(refused > 0, qt.IsTrue)
}

func TestKeysAreNotServedOnceTheirConfigurationIsTooOldToTell(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	e := s.endpoint("i-1", "plain", hello)
	g := s.gateway()
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	s.until("the configuration is too old", func() bool { return !g.current() })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(s.get(g, "/nowhere/").status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(g.ready(time.Now()), qt.IsFalse)
	s.Assert(e.Received(), qt.HasLen, 1)
	s.store.SetFailureStatus(0)
	s.until("the store is back", func() bool { return g.current() })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
}

func TestAHostWithoutAConfigurationAsksToComeBack(t *testing.T) {
	s := newSite(t)
	g := s.start()
	a := s.get(g, "/lookup/")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(a.header.Get("Retry-After"), qt.Equals, "0.500")
	s.endpoint("i-1", "plain", hello)
	s.configure(1, 1000)
	s.until("the host is ready", func() bool { return g.ready(time.Now()) })
}

func TestAConfigurationNeverGoesBack(t *testing.T) {
	s := newSite(t)
	s.configure(5, 1000)
	s.endpoint("i-1", "plain", hello)
	g := s.gateway()
	s.configure(3, 1000)
	s.configure(9, 1000)
	s.until("the newer version is in force", func() bool { return g.table.Load().Version == 9 })
	s.store.Trim(platform.OperatorsTopic)
	s.configure(8, 1000)
	s.configure(10, 1000)
	s.until("the newest version is in force", func() bool { return g.table.Load().Version == 10 })
}

func TestALeavingEndpointGetsNothingNew(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	one, two := s.endpoint("i-1", "plain", hello), s.endpoint("i-2", "plain", hello)
	g := s.gateway()
	one.Register(s.store, "draining")
	s.until("the notice is known", func() bool {
		g.endpoints.mutex.Lock()
		defer g.endpoints.mutex.Unlock()
		return len(g.endpoints.byID) == 2 && g.endpoints.byID["i-1"].State != g.endpoints.byID["i-2"].State
	})
	s.saved(g, 20)
	before := len(one.Received())
	for range 10 {
		s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	}
	s.Assert(len(one.Received()), qt.Equals, before)
	s.Assert(two.Received(), qt.HasLen, 10)
}

func TestARequestThatCrashesEndpointsIsRefused(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	s.endpoint("i-1", "plain", hello)
	g := s.gateway()
	g.mutex.Lock()
	q := &request{organisation: "t1", method: http.MethodPost, target: "/call/", body: []byte("bad")}
	f := fingerprintOf(q)
	for i := range isolateAfter {
		now := time.Now().Add(time.Duration(i-isolateAfter) * time.Second)
		id := dotterelpulley.EndpointID(fmt.Sprintf("crashed-%d", i))
		g.isolation.Started(now, f, id, isolator.AttemptID(i))
		g.died(now, id)
	}
	g.mutex.Unlock()
	a := s.post(g, "/call/", "bad")
	s.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(s.post(g, "/call/", "good").status, qt.Equals, http.StatusOK)
}
