package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// limitWindow and limitFactor with limitSlack are the users' bound on the requests that an endpoint with a limit gets.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// arrivals records when requests reach an endpoint.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
}

// naming returns a handler that records each request and answers it with the header.
func (a *arrivals) naming(header, value string) standin.Handler {
	return func(w http.ResponseWriter, r *http.Request, n int) {
		a.mutex.Lock()
		a.times = append(a.times, time.Now())
		a.mutex.Unlock()
		w.Header().Set(header, value)
		answerHello(w, r, n)
	}
}

// busiest returns the largest number of requests within a window that begins after the time.
func (a *arrivals) busiest(after time.Time, window time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	times := slices.DeleteFunc(slices.Clone(a.times), func(at time.Time) bool { return !at.After(after) })
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Hosts that were told of an endpoint's limit exceeded it together.
func TestHostsKeepTheLimitOfAnEndpointTogether(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var limited arrivals
	s.endpoint("i-1", "plain", limited.naming("Server-Limit", "1.3"))
	hosts := startHosts(s, 3)
	for _, g := range hosts {
		s.waitForAllowance(g, 100)
		s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	}
	s.endpoint("i-2", "plain", answerHello)
	for _, g := range hosts {
		s.waitFor("the host knows both endpoints", func() bool { return len(registrations(g)) == 2 })
	}
	told := time.Now()
	for range 40 {
		for _, g := range hosts {
			s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
		}
	}
	limit := 1.3 * limitFactor * limitWindow.Seconds()
	s.Assert(float64(limited.busiest(told, limitWindow)) <= limit+limitSlack, qt.IsTrue, qt.Commentf("%d requests in a window", limited.busiest(told, limitWindow)))
}

// allowance returns the host's share of the endpoint; false if it has none.
func allowance(g *Gateway, id dotterelpulley.EndpointID) (scheduler.Allowance, bool) {
	for _, byEndpoint := range g.allowances(time.Now()) {
		if a, ok := byEndpoint[id]; ok {
			return a, true
		}
	}
	return scheduler.Allowance{}, false
}

func TestHostsLearnALimitAndItsEndFromEachOther(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var limited atomic.Bool
	limited.Store(true)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		if limited.Load() {
			w.Header().Set("Server-Limit", "2.5")
		}
		answerHello(w, r, n)
	})
	hosts := startHosts(s, 2)
	for _, g := range hosts {
		s.waitForAllowance(g, 20)
	}
	s.Assert(s.get(hosts[0], "/lookup/").header.Get("Server-Limit"), qt.Equals, "2.5")
	for _, g := range hosts {
		s.waitFor("the host knows the limit", func() bool {
			a, ok := allowance(g, "i-1")
			return ok && a.RateLimited && a.PerSecond == 1.25
		})
	}
	limited.Store(false)
	s.Assert(s.get(hosts[1], "/lookup/").status, qt.Equals, http.StatusOK)
	for _, g := range hosts {
		s.waitFor("the host knows that the limit has ended", func() bool {
			_, ok := allowance(g, "i-1")
			return !ok
		})
	}
}

// An answer that isn't the endpoint's own says nothing of the end of a limit.
func TestAGarbledAnswerEndsNoLimit(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		if n == 1 {
			w.Header().Set("Server-Limit", "5")
			answerHello(w, r, n)
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	g := s.startReadyGateway()
	s.waitForAllowance(g, 5)
	s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
	s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusInternalServerError)
	a, _ := allowance(g, "i-1")
	s.Assert(a.PerSecond, qt.Equals, 5.0)
}

func TestHostsDivideThePlacesOfABrittleService(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		w.Header().Set("Server-Brittle", "3")
		answerHello(w, r, n)
	})
	hosts := startHosts(s, 2)
	s.waitForAllowance(hosts[0], 5)
	s.Assert(s.get(hosts[0], "/lookup/").status, qt.Equals, http.StatusOK)
	// An endpoint that hasn't said so yet belongs to the brittle service as well.
	s.endpoint("i-2", "plain", answerHello)
	for _, id := range []dotterelpulley.EndpointID{"i-1", "i-2"} {
		s.waitFor("the hosts have parted the places", func() bool {
			sum := 0
			for _, g := range hosts {
				a, ok := allowance(g, id)
				if !ok || !a.PlacesLimited {
					return false
				}
				sum += a.Places
			}
			// One of the four places stays free.
			return sum == 3
		})
	}
}
