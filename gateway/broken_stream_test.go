package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// The error of the endpoint that should go on with a broken stream must not get into the stream, nor end it as if it were whole.
func TestAnErrorAfterABrokenStreamStaysOutOfTheStream(t *testing.T) {
	const text = "error text of the endpoint"
	for name, fail := range map[string]standin.Handler{
		"signed failure": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.SignResponse(w)
			http.Error(w, text, http.StatusInternalServerError)
		},
		"unsigned failure": func(w http.ResponseWriter, _ *http.Request, _ int) { http.Error(w, text, http.StatusBadGateway) },
		"failure as events": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.SignResponse(w)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = fmt.Fprintf(w, "id: 4\ndata: %s\n\n", text)
		},
		"not found": func(w http.ResponseWriter, _ *http.Request, _ int) { http.Error(w, text, http.StatusNotFound) },
		"success without events": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.SignResponse(w)
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(w, text)
		},
		"unsigned events": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, "id: 4\ndata: %s\n\n", text)
		},
		"not executed": func(w http.ResponseWriter, _ *http.Request, _ int) {
			w.Header().Set("Dotterelpulley-Not-Executed", "1")
			http.Error(w, text, http.StatusServiceUnavailable)
		},
		"no content": func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusNoContent) },
	} {
		for _, way := range []string{"own links", "another host"} {
			t.Run(name+", "+way, func(t *testing.T) {
				s := newSite(t)
				s.publishConfiguration(1, 1000)
				var requests atomic.Int64
				handler := func(w http.ResponseWriter, r *http.Request, n int) {
					if requests.Add(1) == 1 {
						writeBrokenStream(w, 3)
						return
					}
					fail(w, r, n)
				}
				s.endpoint("i-1", "model", handler)
				s.endpoint("i-2", "model", handler)
				s.endpoint("idle", "idle", answerHello)
				hosts := startHosts(s, 2)
				for _, g := range hosts {
					s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 3 })
					s.waitForAllowance(g, 20)
				}
				if way == "another host" {
					s.cutOff(0, "model")
				}
				a := s.get(hosts[0], "/advice/")
				s.Assert(a.status, qt.Equals, http.StatusOK)
				s.Assert(a.err, qt.IsNotNil, qt.Commentf("the stream looks whole"))
				s.Assert(a.body, qt.Not(qt.Contains), text)
				s.Assert(a.body, qt.Not(qt.Contains), "HTTP/1.1")
				s.Assert(a.body, qt.Contains, "piece-3\n")
				s.Assert(requests.Load() >= 2, qt.IsTrue)
			})
		}
	}
}

// An endpoint that breaks off its stream with an error's head has sent no chunk of it; the stream goes on elsewhere.
func TestAnErrorInsideAChunkedStreamIsNoPartOfIt(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var requests atomic.Int64
	answer := func(conn net.Conn, r *http.Request) bool {
		head := strings.Replace(signedHead, "ID", r.Header.Get("Dotterelpulley-Attempt-Id"), 1) + "Content-Type: text/event-stream\r\n"
		if requests.Add(1) == 1 {
			part := "id: 1\ndata: piece-1\n\n"
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nHTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\nerror", head, len(part), part)
			return false
		}
		_, _ = io.WriteString(conn, head+"\r\n"+events(r, 3))
		return false
	}
	s.scriptedEndpoint("i-1", "model", answer)
	s.scriptedEndpoint("i-2", "model", answer)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	a := s.get(g, "/advice/")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, events(&http.Request{}, 3))
}

// An id too long to be kept was ignored, so that a stream which broke after it went on at an earlier event, and sent some twice.
func TestAStreamWithALongIDGoesOnAtAnEarlierEvent(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	handler := func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.Header.Get("Last-Event-Id") == "1" {
			standin.WriteEvents(w, 2, 3)
			return
		}
		standin.WriteEvents(w, 1, 1)
		_, _ = fmt.Fprintf(w, "id: %s\ndata: piece-2\n\n", strings.Repeat("2", 2*lineChunk))
		_ = http.NewResponseController(w).Flush()
		standin.AbortResponse()
	}
	s.endpoint("i-1", "model", handler)
	s.endpoint("i-2", "model", handler)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	a := s.post(g, "/advice/", "prompt")
	s.Check(a.err, qt.IsNotNil)
	s.Check(strings.Count(a.body, "data: piece-2"), qt.Equals, 1)
}
