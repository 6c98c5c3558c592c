package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// ending is how an answer without a length ends.
type ending int

const (
	endsClosed ending = iota
	endsReset
)

// closeDelimited starts an endpoint whose answers have neither a length nor chunks and end with their connection. Its first
// answer is broken as given; the later ones are whole.
func (s *site) closeDelimited(id, service, contentType string, broken, whole func(r *http.Request) string, end ending) *rawEndpoint {
	var answers atomic.Int64
	return s.scriptedEndpoint(id, service, func(conn net.Conn, r *http.Request) bool {
		body, end := broken(r), end
		if answers.Add(1) > 1 {
			body, end = whole(r), endsClosed
		}
		_, _ = fmt.Fprintf(conn, "%sContent-Type: %s\r\n\r\n%s",
			strings.ReplaceAll(signedHead, "ID", r.Header.Get("Dotterelpulley-Attempt-Id")), contentType, body)
		if end == endsReset {
			// Without a linger time, Close resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
}

// events returns the events after the one that the request names, up to the last one.
func events(r *http.Request, last int) string {
	// A request that names none starts at the first.
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	var text strings.Builder
	for n := from + 1; n <= last; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: piece-%d\n\n", n, n)
	}
	return text.String()
}

func TestAnAnswerThatEndsWithItsConnectionIsRelayedWhole(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	small := func(*http.Request) string { return "hello" }
	whole := func(r *http.Request) string { return events(r, 4) }
	s.closeDelimited("i-1", "plain", "text/plain", small, small, endsClosed)
	s.closeDelimited("i-2", "model", "text/event-stream", whole, whole, endsClosed)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	for path, want := range map[string]string{
		"/call/": "hello", "/lookup/": "hello", "/plan/": events(&http.Request{}, 4), "/advice/": events(&http.Request{}, 4),
	} {
		a := s.post(g, path, "x")
		s.Check(a.err, qt.IsNil, qt.Commentf("%s", path))
		s.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
		s.Check(a.body, qt.Equals, want, qt.Commentf("%s", path))
	}
}

func TestALargeAnswerThatEndsWithItsConnectionIsRelayedWhole(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	large := func(*http.Request) string { return largeBody }
	s.closeDelimited("i-1", "plain", "text/plain", large, large, endsClosed)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	a := s.post(g, "/call/", "x")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body == largeBody, qt.IsTrue)
}

// An answer that is reset on the way isn't complete: it must not look so, and a repeatable request goes elsewhere.
func TestAnAnswerThatIsResetIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{"small": "hello", "large": largeBody} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			text := func(*http.Request) string { return body }
			e := s.closeDelimited("i-1", "plain", "text/plain", text, text, endsReset)
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			a := s.post(g, "/call/", "x")
			s.Assert(a.err != nil || a.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("status %d", a.status))
			s.Assert(e.requests.Load(), qt.Equals, int64(1))
			s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))
		})
	}
}

func TestARepeatableRequestWhoseAnswerIsResetGoesElsewhere(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	text := func(*http.Request) string { return "hello" }
	s.closeDelimited("i-1", "plain", "text/plain", text, text, endsReset)
	s.endpoint("i-2", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 20)
	for range 6 {
		a := s.get(g, "/lookup/")
		s.Assert(a.err, qt.IsNil)
		s.Assert(a.body, qt.Equals, "hello")
	}
}

// A stream that ends inside an event, or is reset, has been broken off: it goes on elsewhere, or doesn't look complete.
func TestAStreamThatEndsWithItsConnectionInsideAnEventIsBroken(t *testing.T) {
	const begun = "id: 3\ndata: pie"
	for name, broken := range map[string]struct {
		rest string
		end  ending
	}{
		"closed inside an event":       {begun, endsClosed},
		"closed after a line":          {"id: 3\ndata: piece-3\n", endsClosed},
		"closed after a field":         {"id: 3\n", endsClosed},
		"reset inside an event":        {begun, endsReset},
		"reset between events":         {"", endsReset},
		"closed inside a comment":      {": wa", endsClosed},
		"closed before the first line": {"\r", endsClosed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			part := func(r *http.Request) string { return events(r, 2) + broken.rest }
			whole := func(r *http.Request) string { return events(r, 4) }
			s.closeDelimited("i-1", "model", "text/event-stream", part, whole, broken.end)
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)

			a := s.post(g, "/plan/", "x")
			s.Assert(a.err != nil || a.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("complete: %q", a.body))
			if a.err != nil {
				s.Assert(strings.HasPrefix(events(&http.Request{}, 2), a.body), qt.IsTrue, qt.Commentf("%q", a.body))
			}
			s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))

			other := s.closeDelimited("i-2", "model", "text/event-stream", part, whole, broken.end)
			s.waitFor("the other endpoint's stream has been broken", func() bool {
				a = s.post(g, "/advice/", "x")
				s.Assert(a.err, qt.IsNil)
				s.Assert(a.body, qt.Equals, events(&http.Request{}, 4))
				return other.requests.Load() > 0
			})
		})
	}
}

// A stream without a length that is silent before its end is moved like any other, and its connection is closed.
func TestASilentStreamWithoutLengthGoesOnElsewhere(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	silent := s.scriptedEndpoint("i-1", "model", func(conn net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\n\r\n%s",
			strings.ReplaceAll(signedHead, "ID", r.Header.Get("Dotterelpulley-Attempt-Id")), events(r, 2)+"id: 3\nda")
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	whole := func(r *http.Request) string { return events(r, 4) }
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.closeDelimited("i-2", "model", "text/event-stream", whole, whole, endsClosed)
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	for range 3 {
		a := s.post(g, "/advice/", "x")
		s.Assert(a.err, qt.IsNil)
		s.Assert(a.body, qt.Equals, events(&http.Request{}, 4))
	}
	s.waitFor("the silent connections are closed", func() bool { return silent.answering.Load() == 0 })
}
