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
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// limitRetries sets the host's limit of retries over all hosts.
func limitRetries(g *Gateway, ratio, extra float64) {
	bounds := *g.bounds.Load()
	bounds.RetryRatio, bounds.RetryExtra = ratio, extra
	g.bounds.Store(&bounds)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyBounds()
}

// refusingEndpoints starts endpoints that run no request.
func refusingEndpoints(s *site, count int) []*standin.Endpoint {
	var endpoints []*standin.Endpoint
	for i := range count {
		endpoints = append(endpoints, s.endpoint(fmt.Sprintf("i-%d", i), "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.WriteNotExecuted(w)
		}))
	}
	return endpoints
}

// countArrivals returns the number of requests that the endpoints have received.
func countArrivals(endpoints []*standin.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += len(e.Received())
	}
	return n
}

// A request that endpoints had refused went on through one host after another, and the budget paid for none of it.
func TestForwardedRequestsStayWithinTheRetryBudget(t *testing.T) {
	const requests, ratio, extra = 30, 0.2, 8
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	endpoints := refusingEndpoints(s, 8)
	s.endpoint("idle", "idle", answerHello)
	for _, g := range startHosts(s, 4) {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == len(endpoints)+1 })
		s.waitForAllowance(g, requests)
		limitRetries(g, ratio, extra)
	}
	s.cutOff(0, "plain")
	for range requests {
		s.Assert(s.get(s.gateways[0], "/lookup/").status, qt.Equals, http.StatusServiceUnavailable)
	}
	allowed := requests + int(ratio*requests) + extra
	n := countArrivals(endpoints)
	s.Assert(n >= requests, qt.IsTrue, qt.Commentf("%d arrivals", n))
	s.Assert(n <= allowed, qt.IsTrue, qt.Commentf("%d arrivals, %d allowed", n, allowed))
	var again, repeats int64
	for _, g := range s.gateways {
		again += g.metrics.counts.Get("arrivals-again")
		repeats += g.metrics.counts.Get("repeats")
	}
	s.Assert(again, qt.Equals, int64(n-requests))
	s.Assert(again <= repeats, qt.IsTrue, qt.Commentf("%d arrivals again, %d repeats", again, repeats))
}

// Each process began with a burst of its own, which wasn't even divided until the host had heard the others.
func TestRestartsStayWithinTheRetryBudget(t *testing.T) {
	const starts, requests, ratio, extra = 6, 10, 0.2, 20
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	endpoints := refusingEndpoints(s, 8)
	for range starts {
		g := s.startGateway()
		limitRetries(g, ratio, extra)
		s.waitFor("the host is ready", func() bool { return g.ready(time.Now()) && len(registrations(g)) == len(endpoints) })
		s.waitForAllowance(g, requests)
		for range requests {
			s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusServiceUnavailable)
		}
		s.stopGateway(g)
	}
	allowed := starts*requests + int(ratio*starts*requests) + extra
	n := countArrivals(endpoints)
	s.Assert(n >= starts*requests, qt.IsTrue, qt.Commentf("%d arrivals", n))
	s.Assert(n <= allowed, qt.IsTrue, qt.Commentf("%d arrivals, %d allowed", n, allowed))
}

// One host that helps is enough to reach a second endpoint after a first that refused.
func TestAForwardedRequestReachesASecondEndpoint(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var refusing atomic.Pointer[string]
	var endpoints []*standin.Endpoint
	for _, id := range []string{"i-1", "i-2"} {
		endpoints = append(endpoints, s.endpoint(id, "plain", func(w http.ResponseWriter, r *http.Request, n int) {
			refusing.CompareAndSwap(nil, &id)
			if *refusing.Load() == id {
				standin.WriteNotExecuted(w)
				return
			}
			answerHello(w, r, n)
		}))
	}
	s.endpoint("idle", "idle", answerHello)
	for _, g := range startHosts(s, 2) {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == len(endpoints)+1 })
		s.waitForAllowance(g, 100)
	}
	s.cutOff(0, "plain")
	got := s.post(s.gateways[0], "/call/", "book")
	s.Assert(got.status, qt.Equals, http.StatusOK)
	s.Assert(got.header.Values(headerArrivals), qt.HasLen, 0)
	s.Assert(countArrivals(endpoints), qt.Equals, 2)
	s.Assert(s.gateways[0].metrics.counts.Get("repeats"), qt.Equals, int64(1))
	s.Assert(s.gateways[1].metrics.counts.Get("repeats"), qt.Equals, int64(0))
	s.Assert(s.gateways[1].metrics.counts.Get("arrivals-again"), qt.Equals, int64(1))
}

func TestArrivalsThatAnotherHostNamesAreDecoded(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]endpointArrivals{
		"0":     {},
		"2 i-1": {count: 2, endpoints: []dotterelpulley.EndpointID{"i-1"}},
		(endpointArrivals{count: 2, endpoints: []dotterelpulley.EndpointID{"i-1", "i 2\n"}}).encode(): {count: 2, endpoints: []dotterelpulley.EndpointID{"i-1"}},
	} {
		got, ok := decodeArrivals(http.Header{headerArrivals: {text}})
		c.Check(ok, qt.IsTrue, qt.Commentf("%q", text))
		c.Check(got.count, qt.Equals, want.count)
		c.Check(got.endpoints, qt.DeepEquals, want.endpoints)
	}
	for _, text := range []string{"", "-1", "x", "1 i-1 i-2", "65", "99999999999999999999", strings.Repeat("i ", 100)} {
		_, ok := decodeArrivals(http.Header{headerArrivals: {text}})
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

// A repeat that found no endpoint in time was paid for all the same.
func TestARepeatThatIsNotSentCostsNothing(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	endpoints := refusingEndpoints(s, 1)
	g := s.startReadyGateway()
	s.waitFor("the endpoint is known", func() bool { return len(registrations(g)) == 1 })
	// Each request pays for several retries, and saves none beyond the seven of the fixed number.
	limitRetries(g, 8, 10)
	for range 3 {
		r := s.request(context.Background(), g, http.MethodGet, "/lookup/", "")
		r.Header.Set("Dotterelpulley-Deadline-Ms", "100")
		s.Assert(s.send(r).status, qt.Equals, http.StatusServiceUnavailable)
	}
	s.Assert(countArrivals(endpoints) > 0, qt.IsTrue)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	available := g.retryBudget.Available(time.Now())["plain"]
	s.Assert(available > 6.9, qt.IsTrue, qt.Commentf("%.2f retries left", available))
}
