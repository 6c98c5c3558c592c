package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// answerFor writes an endpoint's answer that names the request.
func answerFor(conn net.Conn, r *http.Request, format string, args ...any) bool {
	head := fmt.Sprintf(format, args...)
	_, err := io.WriteString(conn, head+"Dotterelpulley-Attempt-Id: "+r.Header.Get("Dotterelpulley-Attempt-Id")+"\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// An endpoint ran a request and answered with a status that promises the contrary; its caller got the promise and sent the booking
// again.
func TestARunThatEndsWithTheStatusOfARefusalIsNoRefusal(t *testing.T) {
	for _, hosts := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			for _, service := range []string{"plain", "model"} {
				s.scriptedEndpoint("i-"+service, service, func(conn net.Conn, r *http.Request) bool {
					return answerFor(conn, r, "HTTP/1.1 %s Busy\r\nDotterelpulley-Response-Stamp: s\r\n", path.Base(r.URL.Path))
				})
			}
			for _, g := range startHosts(s, hosts) {
				s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
				s.waitForAllowance(g, 100)
			}
			if hosts > 1 {
				s.cutOff(0, "plain", "model")
			}
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
				for _, route := range []string{"/call/", "/plan/", "/lookup/", "/advice/"} {
					a := s.post(s.gateways[0], route+strconv.Itoa(status), "book")
					s.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s%d", route, status))
					s.Check(a.header.Get("Dotterelpulley-Response-Stamp"), qt.Equals, "", qt.Commentf("%s%d", route, status))
				}
			}
		})
	}
}

// An answer with status 421 that neither names the request nor says that it has not run was taken for a refusal, and a second
// endpoint ran the request.
func TestAMisdirectionWithoutAProofIsNoRefusal(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		s.scriptedEndpoint(id, "plain", func(conn net.Conn, _ *http.Request) bool {
			runs.Add(1)
			_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
	}
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 20)
	a := s.post(g, "/call/", "book")
	s.Assert(runs.Load(), qt.Equals, int64(1))
	s.Assert(a.status, qt.Equals, http.StatusBadGateway)
}
