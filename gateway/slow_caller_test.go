package gateway

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
