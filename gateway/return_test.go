package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// threeEvents is the stream of events 1 to 3.
const threeEvents = wholeStream + "id: 3\ndata: piece-3\n\n"

// returnSite returns a host before the endpoints. The first run of a request sends one event and falls silent, the second one is
// the handler's, and each further one sends the rest of the three events.
func returnSite(t *testing.T, ids []string, second standin.Handler) (s *site, work *workSpans, ran func() []string) {
	s = newSite(t)
	s.publishConfiguration(1, 1000)
	work = &workSpans{}
	var mutex sync.Mutex
	var endpoints []string
	for _, id := range ids {
		s.endpoint(id, "model", func(w http.ResponseWriter, r *http.Request, attempt int) {
			n, end := work.begin()
			defer end()
			mutex.Lock()
			endpoints = append(endpoints, id)
			mutex.Unlock()
			switch n {
			case 0:
				standin.WriteEvents(w, 1, 1)
				<-r.Context().Done()
			case 1:
				second(w, r, attempt)
			default:
				last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				s.Check(err, qt.IsNil)
				standin.WriteEvents(w, last+1, 3)
			}
		})
	}
	g := s.startReadyGateway()
	s.waitFor("all endpoints are known", func() bool { return len(registrations(g)) == len(ids) })
	s.waitForAllowance(g, 20)
	return s, work, func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return endpoints
	}
}

// waitForRefusalTime lets the time pass after which an endpoint counts as at work, unless the request is withdrawn.
func waitForRefusalTime(r *http.Request) {
	select {
	case <-time.After(3 * refusalTime):
	case <-r.Context().Done():
		standin.AbortResponse()
	}
}

// LOST: a stream whose sound endpoint was silent for a while was handed over to another one, and lost when that failed: the route allowed
// no third endpoint, and the silent one was never gone back to.
func TestAStreamIsLostWithTheEndpointThatItWasHandedTo(t *testing.T) {
	for name, second := range map[string]standin.Handler{
		"which fails": func(w http.ResponseWriter, r *http.Request, _ int) {
			waitForRefusalTime(r)
			standin.SignResponse(w)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"which breaks the connection": func(_ http.ResponseWriter, r *http.Request, _ int) {
			waitForRefusalTime(r)
			standin.AbortResponse()
		},
		"which sends an event and breaks off": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.WriteEvents(w, 2, 2)
			_ = http.NewResponseController(w).Flush()
			standin.AbortResponse()
		},
		"which sends an event and falls silent": func(w http.ResponseWriter, r *http.Request, _ int) {
			standin.WriteEvents(w, 2, 2)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, work, ran := returnSite(t, []string{"i-1", "i-2", "i-3"}, second)
			a := s.post(s.gateways[0], "/advice/", "prompt")
			s.Assert(a.err, qt.IsNil)
			s.Assert(a.body, qt.Equals, threeEvents)
			s.waitForNoRequests()
			endpoints := ran()
			s.Assert(endpoints, qt.HasLen, 3)
			s.Check(endpoints[2], qt.Equals, endpoints[0], qt.Commentf("the route allows two endpoints"))
			s.Check(work.overlap() < maxOverlap, qt.IsTrue, qt.Commentf("%s", work.overlap()))
			s.Check(s.gateways[0].metrics.counts.Get("repeats"), qt.Equals, int64(2))
			s.Check(slotsHeld(s.gateways[0]), qt.Equals, 0)
		})
	}
}

// LOST: the same where the other endpoint refuses late, and no third one has a place.
func TestAStreamIsLostForWantOfAThirdEndpoint(t *testing.T) {
	s, work, ran := returnSite(t, []string{"i-1", "i-2"}, func(w http.ResponseWriter, r *http.Request, _ int) {
		waitForRefusalTime(r)
		standin.WriteNotExecuted(w)
	})
	a := s.post(s.gateways[0], "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, threeEvents)
	s.waitForNoRequests()
	endpoints := ran()
	s.Assert(endpoints, qt.HasLen, 3)
	s.Check(endpoints[2], qt.Equals, endpoints[0])
	s.Check(work.overlap() < maxOverlap, qt.IsTrue, qt.Commentf("%s", work.overlap()))
	s.Check(slotsHeld(s.gateways[0]), qt.Equals, 0)
}

// A stream goes back to its silent endpoint only within the retry budget.
func TestAReturnToASilentEndpointTakesARetry(t *testing.T) {
	var g *Gateway
	s, _, ran := returnSite(t, []string{"i-1", "i-2", "i-3"}, func(_ http.ResponseWriter, r *http.Request, _ int) {
		waitForRefusalTime(r)
		limitRetries(g, 0, 0)
		standin.AbortResponse()
	})
	g = s.gateways[0]
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNotNil)
	s.Assert(ran(), qt.HasLen, 2)
}
