package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform"
)

// rawEndpoint is an endpoint that answers with bytes of a test's choice.
type rawEndpoint struct {
	requests atomic.Int64
	// answering counts the answers that the endpoint still sends.
	answering atomic.Int64
}

// endless stands at the end of an answer for bytes without end.
type endless string

// rawEndpoint starts and registers an endpoint that answers each request with the text, in which ID stands for the request's
// id, and then sends the unit until its connection is closed; an empty unit sends nothing more.
func (s *site) rawEndpoint(id, service, text string, unit endless) *rawEndpoint {
	return s.scriptedEndpoint(id, service, func(conn net.Conn, r *http.Request) bool {
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Dotterelpulley-Attempt-Id"))); err != nil {
			return false
		}
		many := strings.Repeat(string(unit), 4096/max(len(unit), 1))
		for unit != "" {
			if _, err := io.WriteString(conn, many); err != nil {
				return false
			}
		}
		return true
	})
}

// scriptedEndpoint starts and registers an endpoint that calls the function for each request of a connection, until it
// returns false or the connection ends.
func (s *site) scriptedEndpoint(id, service string, answer func(conn net.Conn, r *http.Request) bool) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	s.TB.(*testing.T).Cleanup(func() { listener.Close() })
	e := &rawEndpoint{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					e.requests.Add(1)
					e.answering.Add(1)
					goesOn := answer(conn, r)
					e.answering.Add(-1)
					if !goesOn {
						return
					}
				}
			}()
		}
	}()
	s.store.Put(platform.EndpointsTopic, id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, service, listener.Addr()))
	return e
}

// signedHead begins a success of the endpoint.
const signedHead = "HTTP/1.1 200 OK\r\nDotterelpulley-Attempt-Id: ID\r\nDotterelpulley-Response-Stamp: s\r\n"

// An endpoint whose answer begins with a head without end has failed at once: the caller doesn't wait for its deadline.
func TestAnEndpointWhoseHeadHasNoEndHasFailed(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	bad := s.rawEndpoint("i-1", "plain", signedHead, "X-More: 1\r\n")
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusBadGateway)
	s.Assert(bad.requests.Load(), qt.Equals, int64(1))
	s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))
	s.endpoint("i-2", "plain", answerHello)
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	for range 4 {
		s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	}
	s.waitFor("the endpoint's connections are closed", func() bool { return bad.answering.Load() == 0 })
}

// A request that certainly has not run goes elsewhere at once, however long the refusal's body takes.
func TestARefusalWhoseBodyHasNoEndHoldsNobody(t *testing.T) {
	for name, refusal := range map[string]struct {
		text string
		unit endless
	}{
		"silent":  {"HTTP/1.1 503 Full\r\nDotterelpulley-Not-Executed: 1\r\nContent-Length: 10\r\n\r\nshort", ""},
		"endless": {"HTTP/1.1 503 Full\r\nDotterelpulley-Not-Executed: 1\r\n\r\n", "more "},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			s.rawEndpoint("i-1", "plain", refusal.text, refusal.unit)
			s.endpoint("i-2", "plain", answerHello)
			g := s.startReadyGateway()
			s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
			s.waitForAllowance(g, 20)
			for range 4 {
				s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
			}
		})
	}
}

// An answer to another request that stays incomplete must not hold a request that can run elsewhere until its deadline.
func TestAnotherRequestsAnswerWithoutEndHoldsNobody(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.rawEndpoint("i-1", "plain", "HTTP/1.1 200 OK\r\nDotterelpulley-Attempt-Id: other\r\nContent-Length: 10\r\n\r\nshort", "")
	s.endpoint("i-2", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 20)
	for range 2 {
		s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	}
}

// Comments or empty lines at full speed are no stream: they cost the host's processor until the caller's deadline.
func TestAStreamOfNothingButCommentsHasFailed(t *testing.T) {
	for name, unit := range map[string]endless{"empty lines": "\n", "comments": ": wait\n\n", "one comment": ": wait\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			e := s.rawEndpoint("i-1", "model", signedHead+"Content-Type: text/event-stream\r\n\r\n", unit)
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			s.Assert(s.post(g, "/plan/", "prompt").status, qt.Equals, http.StatusBadGateway)
			s.Assert(g.metrics.counts.Get("tries-failed"), qt.Equals, int64(1))
			s.waitFor("the endpoint's connection is closed", func() bool { return e.answering.Load() == 0 })
		})
	}
}

// What follows an answer that has no body belongs to no request, and its connection is closed.
func TestBytesAfterAnAnswerWithoutBodyAreNobodysAnswer(t *testing.T) {
	for name, test := range map[string]struct{ method, head string }{
		"no content":   {http.MethodGet, "HTTP/1.1 204 No Content\r\nDotterelpulley-Response-Stamp: s\r\nDotterelpulley-Attempt-Id: ID\r\n\r\n"},
		"not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nDotterelpulley-Attempt-Id: ID\r\nContent-Length: 7\r\n\r\n"},
		"head":         {http.MethodHead, signedHead + "Content-Length: 7\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			e := s.rawEndpoint("i-1", "plain", test.head, "HTTP/1.1 200 OK\r\nDotterelpulley-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nbogus")
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			for range 3 {
				a := s.send(s.request(context.Background(), g, test.method, "/lookup/", ""))
				s.Assert(a.err, qt.IsNil)
				s.Assert(strings.Fields(test.head)[1], qt.Equals, strconv.Itoa(a.status))
				s.Assert(a.body, qt.Equals, "")
			}
			s.waitFor("the endpoint's connections are closed", func() bool { return e.answering.Load() == 0 })
		})
	}
}
