package budgeter

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A body is charged until its handler has returned, and one without room isn't read to its end.
func TestABodyIsChargedWhileItsHandlerRuns(t *testing.T) {
	const size = 100 << 10
	var s *server
	charged := make(chan Bytes, 1)
	s = startServer(t, 1<<20, ChargeBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		before := s.Usage().Bytes
		_, err := io.ReadAll(r.Body)
		charged <- s.Usage().Bytes - before
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})).ServeHTTP)
	conn, r := s.dial()
	request := head + "Content-Length: 102400\r\n\r\n" + strings.Repeat("x", size)
	_, err := io.WriteString(conn, request)
	s.Assert(err, qt.IsNil)
	status, _ := s.read(r)
	s.Assert(status, qt.Equals, http.StatusOK)
	s.Assert(<-charged, qt.Equals, size*byteCost)
	s.waitFor("the body has been given back", func() bool { return s.Usage().Bytes == connectionBytes })
	s.SetLimits(Limits{Bytes: 100 << 10})
	_, err = io.WriteString(conn, request)
	s.Assert(err, qt.IsNil)
	status, _ = s.read(r)
	s.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(<-charged < 100<<10, qt.IsTrue)
}

// A compressed body may become much larger than what is charged for it.
func TestACompressedBodyIsRefused(t *testing.T) {
	s := startServer(t, 1<<20, ChargeBodies(http.HandlerFunc(answerBody)).ServeHTTP)
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		conn, r := s.dial()
		_, err := io.WriteString(conn, head+name+": gzip\r\nContent-Length: 3\r\n\r\nabc")
		s.Assert(err, qt.IsNil)
		status, _ := s.read(r)
		s.Check(status, qt.Equals, http.StatusUnsupportedMediaType, qt.Commentf(name))
	}
}

// A connection of HTTP/2 that is in use isn't closed for others, however old it is, nor is it taken for a head without end.
func TestAConnectionOfHTTP2IsJudgedByItsUse(t *testing.T) {
	s := startServer(t, 1<<10, answerBody, func(s *server) {
		s.listener.HTTP2 = true
		s.server.Protocols = new(http.Protocols)
		s.server.Protocols.SetUnencryptedHTTP2(true)
		s.server.Protocols.SetHTTP1(true)
	})
	var clients http.Protocols
	clients.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &clients}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	for range 50 {
		response, err := client.Post("http://"+s.listener.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", 2<<10)))
		s.Assert(err, qt.IsNil)
		s.Assert(response.Body.Close(), qt.IsNil)
		s.Assert(response.ProtoMajor, qt.Equals, 2)
	}
	s.Assert(s.Usage().Connections, qt.Equals, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a := range s.accounts {
		s.Assert(a.completed, qt.IsTrue)
		s.Assert(a.held, qt.Equals, connectionBytes)
	}
}
