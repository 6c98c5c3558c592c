package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// largeBody is more than a host holds of one answer.
var largeBody = strings.Repeat("0123456789abcdef", 3*maxBufferedResponse/32)

func answerLarge(status int) func(w http.ResponseWriter, r *http.Request, n int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Dotterelpulley-Response-Stamp", "s")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, largeBody)
	}
}

// A large failure that can't be repeated elsewhere was cut at the buffer's size and looked complete.
func TestALargeFailureIsRelayedWhole(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerLarge(http.StatusInternalServerError))
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	limitRetries(g, 0, 0)
	for _, path := range []string{"/lookup/", "/open/"} {
		a := s.get(g, path)
		s.Assert(a.err, qt.IsNil)
		s.Assert(a.status, qt.Equals, http.StatusInternalServerError)
		s.Check(len(a.body), qt.Equals, len(largeBody), qt.Commentf("%s", path))
	}
}

// The unread rest of a large failure must not be taken for the answer to the next request on its connection.
func TestTheRestOfALargeFailureIsNobodysAnswer(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	const rest = signedHead + "Content-Length: 9\r\n\r\nnot yours"
	var failedOn sync.Map
	s.scriptedEndpoint("i-1", "plain", func(conn net.Conn, r *http.Request) bool {
		id := r.Header.Get("Dotterelpulley-Attempt-Id")
		if _, again := failedOn.LoadOrStore(conn, true); again {
			// The rest of the failure before looks like the answer to this request.
			_, err := io.WriteString(conn, strings.ReplaceAll(rest, "ID", id))
			return err == nil
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Failed\r\nDotterelpulley-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, maxBufferedResponse+len(rest), largeBody[:maxBufferedResponse])
		return err == nil
	})
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	for range 2 {
		// The endpoint never sends the rest of its failure; the caller's time ends before.
		r := s.request(context.Background(), g, http.MethodGet, "/lookup/", "")
		r.Header.Set("Dotterelpulley-Deadline-Ms", "500")
		a := s.send(r)
		s.Check(a.status, qt.Not(qt.Equals), http.StatusOK)
		s.Check(strings.Contains(a.body, "not yours"), qt.IsFalse)
	}
}

// A caller that leaves in the middle of a large answer must not make the endpoint count as failed.
func TestACallerThatLeavesALargeAnswerIsNotTheEndpointsFailure(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.rawEndpoint("i-1", "plain", signedHead+"\r\n", "more bytes\n")
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	conn := s.callSilently(g, "GET /lookup/ HTTP/1.1", "\r\n")
	_, err := io.ReadFull(conn, make([]byte, maxBufferedResponse))
	s.Assert(err, qt.IsNil)
	s.Assert(conn.Close(), qt.IsNil)
	s.waitFor("the run has ended", func() bool { return g.inFlight.Load() == 0 && e.answering.Load() == 0 })
	s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(0))
	s.Assert(g.metrics.counts.Get("tries-left"), qt.Equals, int64(1))
}

// An answer without end is relayed, as a large one may be sound, but ends by the deadline and never looks complete.
func TestAnAnswerWithoutEndNeverLooksComplete(t *testing.T) {
	for name, answer := range map[string]struct {
		text string
		unit endless
	}{
		"without length": {signedHead + "\r\n", "more bytes\n"},
		"chunked":        {signedHead + "Transfer-Encoding: chunked\r\n\r\n", "b\r\nmore bytes\n\r\n"},
		"long":           {signedHead + "Content-Length: 1000000000000\r\n\r\n", "more bytes\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			e := s.rawEndpoint("i-1", "plain", answer.text, answer.unit)
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			r := s.request(context.Background(), g, http.MethodGet, "/lookup/", "")
			r.Header.Set("Dotterelpulley-Deadline-Ms", "300")
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			response, err := transport.RoundTrip(r)
			s.Assert(err, qt.IsNil)
			defer response.Body.Close()
			n, err := io.Copy(io.Discard, response.Body)
			s.Assert(err, qt.IsNotNil, qt.Commentf("complete after %d bytes", n))
			s.waitFor("the run has ended", func() bool { return g.inFlight.Load() == 0 && e.answering.Load() == 0 })
			s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))
		})
	}
}
