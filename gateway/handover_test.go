package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// maxOverlap is how long two endpoints may be at work on one request.
const maxOverlap = 400 * time.Millisecond

// workSpans records when endpoints were at work on one request, in the order of their starts.
type workSpans struct {
	mutex sync.Mutex
	spans []workSpan
}

type workSpan struct{ from, to time.Time }

// begin records the start of a run and returns its number from 0, and the function that records its end.
func (s *workSpans) begin() (n int, end func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n = len(s.spans)
	s.spans = append(s.spans, workSpan{from: time.Now()})
	return n, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.spans[n].to = time.Now()
	}
}

// overlap returns how long a run went on after the next one had begun, at most; all runs must have ended.
func (s *workSpans) overlap() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	longest := time.Duration(0)
	for i := 1; i < len(s.spans); i++ {
		longest = max(longest, s.spans[i-1].to.Sub(s.spans[i].from))
	}
	return longest
}

// A stream whose endpoint was silent went on at another one for as long as that took to its first event, while the first was still at
// work on it.
func TestTwoEndpointsWorkOnOneStream(t *testing.T) {
	for name, events := range map[string]int{"before the first event": 0, "after three events": 3} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			var work workSpans
			handler := func(w http.ResponseWriter, r *http.Request, _ int) {
				n, end := work.begin()
				defer end()
				if n == 0 {
					standin.WriteEvents(w, 1, events)
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
					return
				}
				// The time to read the prompt.
				select {
				case <-time.After(2 * time.Second):
					standin.WriteEvents(w, events+1, 5)
				case <-r.Context().Done():
				}
			}
			s.endpoint("i-1", "model", handler)
			s.endpoint("i-2", "model", handler)
			g := s.startReadyGateway()
			s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
			a := s.post(g, "/advice/", "prompt")
			s.Assert(a.err, qt.IsNil)
			s.Assert(a.status, qt.Equals, http.StatusOK)
			s.Check(a.body, qt.Contains, "data: piece-5")
			s.waitFor("no slot is held", func() bool { return slotsHeld(g) == 0 })
			s.Check(work.overlap() < maxOverlap, qt.IsTrue, qt.Commentf("%s", work.overlap()))
		})
	}
}

// A stream that was handed over to an endpoint which refuses it late must go on at a third one.
func TestALateRefusalEndsAStreamThatWasHandedOver(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var work workSpans
	handler := func(w http.ResponseWriter, r *http.Request, _ int) {
		n, end := work.begin()
		defer end()
		switch n {
		case 0:
			standin.WriteEvents(w, 1, 1)
			<-r.Context().Done()
		case 1:
			select {
			case <-time.After(3 * refusalTime):
				standin.WriteNotExecuted(w)
			case <-r.Context().Done():
			}
		default:
			standin.WriteEvents(w, 2, 2)
		}
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s.endpoint(id, "model", handler)
	}
	g := s.startReadyGateway()
	s.waitFor("all endpoints are known", func() bool { return len(registrations(g)) == 3 })
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, wholeStream)
	s.Check(work.overlap() < maxOverlap, qt.IsTrue, qt.Commentf("%s", work.overlap()))
	s.Check(g.metrics.counts.Get("silences-handed-over"), qt.Equals, int64(1))
	s.waitFor("no slot is held", func() bool { return slotsHeld(g) == 0 })
}
