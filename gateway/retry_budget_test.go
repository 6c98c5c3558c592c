package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
