package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An endpoint that stopped after the head of a stream and closed the connection: callers got a success without events that
// looked whole.
func TestAStreamThatEndsWithItsConnectionBeforeItsFirstEventIsBroken(t *testing.T) {
	for name, rest := range map[string]string{"nothing": "", "a comment": ": wait\n\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			empty := func(*http.Request) string { return rest }
			whole := func(r *http.Request) string { return events(r, 4) }
			s.closeDelimited("i-1", "model", "text/event-stream", empty, whole, endsClosed)
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			a := s.post(g, "/plan/", "x")
			s.Assert(a.status, qt.Equals, http.StatusBadGateway)
			s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))

			other := s.closeDelimited("i-2", "model", "text/event-stream", empty, whole, endsClosed)
			s.waitFor("the other endpoint's stream has been broken", func() bool {
				a = s.post(g, "/advice/", "x")
				s.Assert(a.err, qt.IsNil)
				s.Assert(a.body, qt.Equals, events(&http.Request{}, 4))
				return other.requests.Load() > 0
			})
		})
	}
}

// A stream that was to go on elsewhere, and got nothing there but a head, ended as complete before its last event.
func TestAResumedStreamThatGetsNoEventIsBroken(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	// The first answer is broken inside its second event, each later one ends with its head.
	broken := func(r *http.Request) string { return events(r, 1) + "id: 2\nda" }
	empty := func(*http.Request) string { return "" }
	for _, id := range []string{"i-1", "i-2"} {
		s.closeDelimited(id, "model", "text/event-stream", broken, empty, endsClosed)
	}
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 20)
	s.waitFor("a stream has gone on at an endpoint that sends nothing", func() bool {
		a := s.post(g, "/advice/", "x")
		s.Assert(a.err != nil || a.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("complete: %q", a.body))
		return g.metrics.counts.Get("tries-failed") >= 3
	})
}
