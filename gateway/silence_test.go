package gateway

import (
	"context"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/router"
)

// wholeStream is the stream of events 1 and 2.
const wholeStream = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n"

// pauseMidway sends one event, falls silent and goes on once the channel is closed.
func pauseMidway(proceed <-chan struct{}) standin.Handler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		standin.WriteEvents(w, 1, 1)
		select {
		case <-proceed:
		case <-r.Context().Done():
			return
		}
		standin.WriteEvents(w, 2, 2)
	}
}

// postAcrossSilence sends a caller's request and closes the channel, at which its silent endpoint goes on, when the host has
// noticed the silence and the condition holds.
func (s *site) postAcrossSilence(g *Gateway, proceed chan<- struct{}, condition func() bool) answer {
	got := make(chan answer, 1)
	r := s.request(context.Background(), g, http.MethodPost, "/advice/", "prompt")
	go func() { got <- s.send(r) }()
	s.waitFor("the endpoint is silent", func() bool {
		return len(got) > 0 || g.metrics.counts.Get("silences") > 0 && condition()
	})
	close(proceed)
	return <-got
}

func always() bool { return true }

// slotsHeld returns the number of runs that the host counts at all endpoints.
func slotsHeld(g *Gateway) int {
	running := 0
	for _, e := range g.describe(time.Now()).Endpoints {
		running += e.Running
	}
	return running
}

// A stream whose endpoint falls silent and goes on must not be cut because no other endpoint can take it.
func TestASilentStreamIsNotCutWithoutAnotherEndpoint(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	proceed := make(chan struct{})
	e := s.endpoint("i-1", "model", pauseMidway(proceed))
	g := s.startReadyGateway()
	a := s.postAcrossSilence(g, proceed, always)
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, wholeStream)
	s.Assert(e.Received(), qt.HasLen, 1)
}

// Silence before the first event is no failure either.
func TestAStreamThatStartsSilentIsNotFailedWithoutAnotherEndpoint(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	proceed := make(chan struct{})
	s.endpoint("i-1", "model", func(w http.ResponseWriter, r *http.Request, _ int) {
		standin.WriteEvents(w, 1, 0)
		s.Check(http.NewResponseController(w).Flush(), qt.IsNil)
		select {
		case <-proceed:
		case <-r.Context().Done():
			return
		}
		standin.WriteEvents(w, 1, 2)
	})
	g := s.startReadyGateway()
	a := s.postAcrossSilence(g, proceed, always)
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.status, qt.Equals, http.StatusOK)
	s.Assert(a.body, qt.Equals, wholeStream)
}

// A silent stream must not be cut because the retry budget is used up.
func TestASilentStreamIsNotCutWithoutRetryBudget(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	proceed := make(chan struct{})
	first, second := s.endpoint("i-1", "model", pauseMidway(proceed)), s.endpoint("i-2", "model", pauseMidway(proceed))
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	limitRetries(g, 0, 0)
	a := s.postAcrossSilence(g, proceed, always)
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, wholeStream)
	s.Assert(len(first.Received())+len(second.Received()), qt.Equals, 1)
}

// A silent stream must not be cut because the endpoint that was to go on with it doesn't.
func TestASilentStreamOutlivesAnEndpointThatDoesNotTakeOver(t *testing.T) {
	for name, test := range map[string]struct {
		handler standin.Handler
		// counter counts the attempt's end, if it ends by itself.
		counter string
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request, _ int) { standin.WriteNotExecuted(w) }, "tries-refused"},
		"broken":  {abort, "tries-failed"},
		"hanging": {func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }, ""},
		"silent": {func(w http.ResponseWriter, r *http.Request, _ int) {
			standin.WriteEvents(w, 1, 0)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			var runs atomic.Int64
			proceed := make(chan struct{})
			either := func(w http.ResponseWriter, r *http.Request, n int) {
				if runs.Add(1) == 1 {
					pauseMidway(proceed)(w, r, n)
					return
				}
				test.handler(w, r, n)
			}
			s.endpoint("i-1", "model", either)
			s.endpoint("i-2", "model", either)
			g := s.startReadyGateway()
			s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
			a := s.postAcrossSilence(g, proceed, func() bool {
				return runs.Load() > 1 && (test.counter == "" || g.metrics.counts.Get(test.counter) > 0)
			})
			s.Assert(a.err, qt.IsNil)
			s.Assert(a.body, qt.Equals, wholeStream)
			s.Assert(runs.Load() > 1, qt.IsTrue)
			s.waitFor("no slot is held", func() bool { return slotsHeld(g) == 0 })
		})
	}
}

// A stream whose endpoint stays silent goes on elsewhere without a gap, and the silent endpoint stops.
func TestAStreamThatStaysSilentGoesOnElsewhere(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	left := make(chan struct{})
	either := func(w http.ResponseWriter, r *http.Request, _ int) {
		if runs.Add(1) > 1 {
			standin.WriteEvents(w, 2, 2)
			return
		}
		standin.WriteEvents(w, 1, 1)
		<-r.Context().Done()
		close(left)
	}
	first, second := s.endpoint("i-1", "model", either), s.endpoint("i-2", "model", either)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, wholeStream)
	<-left
	resumed := 0
	for _, r := range append(first.Received(), second.Received()...) {
		if r.Header.Get("Last-Event-Id") == "1" {
			resumed++
		}
	}
	s.Assert(resumed, qt.Equals, 1)
}

// A caller that leaves while two endpoints work on its stream must stop both.
func TestACallerThatLeavesASilentStreamStopsBothEndpoints(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var begun, ended atomic.Int64
	either := func(w http.ResponseWriter, r *http.Request, _ int) {
		if begun.Add(1) == 1 {
			standin.WriteEvents(w, 1, 1)
		}
		<-r.Context().Done()
		ended.Add(1)
	}
	s.endpoint("i-1", "model", either)
	s.endpoint("i-2", "model", either)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	go s.send(s.request(ctx, g, http.MethodPost, "/advice/", "prompt"))
	s.waitFor("both endpoints work on the stream", func() bool { return begun.Load() == 2 })
	cancel()
	s.waitFor("both endpoints have stopped", func() bool { return ended.Load() == 2 })
	s.waitFor("no slot is held", func() bool { return slotsHeld(g) == 0 })
}

// The crash of a silent endpoint must be recorded when it is seen, not when the endpoint that goes on has answered.
func TestTheCrashOfASilentEndpointDoesNotWaitForTheOther(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	var g *Gateway
	asked := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request, _ int) {
		if runs.Add(1) == 1 {
			standin.WriteEvents(w, 1, 1)
			<-asked
			standin.AbortResponse()
		}
		close(asked)
		for g.metrics.counts.Get("tries-failed") == 0 {
			if r.Context().Err() != nil {
				return
			}
			runtime.Gosched()
		}
		standin.WriteEvents(w, 2, 2)
	}
	s.endpoint("i-1", "model", handler)
	s.endpoint("i-2", "model", handler)
	g = s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	r := s.request(context.Background(), g, http.MethodPost, "/advice/", "prompt")
	r.Header.Set("Dotterelpulley-Deadline-Ms", "4000")
	a := s.send(r)
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, wholeStream)
}

// Callers of some routes wait for longer than a sound endpoint falls silent; others leave little time for another endpoint.
func TestAnotherEndpointIsAskedAsLateAsCallersAllow(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ objective, pause, first, next time.Duration }{
		{300 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond, 1400 * time.Millisecond},
		{400 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond},
		{600 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond, 1200 * time.Millisecond},
		{time.Second, 250 * time.Millisecond, 2 * time.Second, 2 * time.Second},
		{5 * time.Second, 250 * time.Millisecond, 2 * time.Second, 2 * time.Second},
	} {
		r := &router.Route{Objective: test.objective, MaxEventInterval: test.pause}
		c.Check(silenceLimit(r, true), qt.Equals, test.first)
		c.Check(silenceLimit(r, false), qt.Equals, test.next)
		c.Check(silenceLimit(r, true)+refusalTime < r.Patience(), qt.IsTrue)
	}
}
