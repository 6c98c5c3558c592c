package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// callSilently sends a caller's request and leaves its connection open without reading from it.
func (s *site) callSilently(g *Gateway, head, body string) net.Conn {
	conn, err := net.Dial("tcp", string(g.settings.CallerAddress))
	s.Assert(err, qt.IsNil)
	s.TB.(*testing.T).Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "%s\r\nHost: h.example\r\nApi-Key: k1\r\nDotterelpulley-Attempt-Id: silent\r\n%s", head, body)
	s.Assert(err, qt.IsNil)
	return conn
}

// A caller that stops reading must not hold its run, its slot and its memory for as long as its connection lasts.
func TestARunEndsAfterItsDeadlineWhenTheCallerDoesNotRead(t *testing.T) {
	for name, path := range map[string]string{"answer": "/lookup/", "stream": "/plan/"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			e := s.rawEndpoint("i-1", "plain", signedHead+"\r\n", "more bytes\n")
			m := s.rawEndpoint("i-2", "model", signedHead+"Content-Type: text/event-stream\r\n\r\n", endless("id: 1\ndata: "+strings.Repeat("x", 4000)+"\n\n"))
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			s.callSilently(g, "GET "+path+" HTTP/1.1", "Dotterelpulley-Deadline-Ms: 300\r\n\r\n")
			s.waitFor("the run has begun", func() bool { return e.requests.Load()+m.requests.Load() == 1 })
			s.waitFor("the run has ended", func() bool { return g.inFlight.Load() == 0 })
			s.waitFor("the endpoint's connection is closed", func() bool { return e.answering.Load()+m.answering.Load() == 0 })
		})
	}
}

// A caller whose body never ends must not hold a connection and what it has sent for ever.
func TestARequestWhoseBodyNeverEndsIsRefusedAtItsDeadline(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	conn := s.callSilently(g, "POST /call/ HTTP/1.1", "Dotterelpulley-Deadline-Ms: 300\r\nContent-Length: 10\r\n\r\nshort")
	s.Assert(conn.SetReadDeadline(time.Now().Add(conditionTimeout)), qt.IsNil)
	answer, err := io.ReadAll(conn)
	s.Assert(err, qt.IsNil)
	s.Assert(string(answer), qt.Matches, `(?s)HTTP/1.1 503 .*`)
	s.waitFor("the request is gone", func() bool { return g.inFlight.Load() == 0 })
}

// A body that nobody reads must not hold its connection for as long as it stays incomplete: the server waits for the rest.
func TestABodyThatNobodyReadsHoldsNoConnection(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	for name, address := range map[string]dotterelpulley.Address{
		"callers": g.settings.CallerAddress, "directory": g.settings.DirectoryAddress, "readiness": g.settings.ReadinessAddress,
		"metrics": g.metricsAddress(), "relay": g.peers.self().PeerAddress,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			conn, err := net.Dial("tcp", string(address))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /unknown HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nshort")
			c.Assert(err, qt.IsNil)
			c.Assert(conn.SetReadDeadline(time.Now().Add(conditionTimeout)), qt.IsNil)
			_, err = io.Copy(io.Discard, conn)
			c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
		})
	}
}

// A request that is refused before its body is read must not wait for a body that never ends.
func TestARefusalDoesNotWaitForABodyThatNeverEnds(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	conn := s.callSilently(g, "POST /nowhere/ HTTP/1.1", "Dotterelpulley-Deadline-Ms: 300\r\nContent-Length: 10\r\n\r\nshort")
	s.Assert(conn.SetReadDeadline(time.Now().Add(conditionTimeout)), qt.IsNil)
	answer, err := io.ReadAll(conn)
	s.Assert(err, qt.IsNil)
	s.Assert(string(answer), qt.Matches, `(?s)HTTP/1.1 404 .*`)
}
