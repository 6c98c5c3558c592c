package budgeter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
)

// server serves a handler on a listener within a budget.
type server struct {
	*qt.C
	Budget
	listener *Listener
	served   conc.WaitGroup
	server   http.Server
}

func startServer(t *testing.T, headBytes int, handler http.HandlerFunc, configure ...func(*server)) *server {
	s := &server{C: qt.New(t)}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	s.listener = &Listener{
		Listener: tcp, Budget: &s.Budget, HeadBytes: func() int { return headBytes },
		TooLarge: []byte("HTTP/1.1 431 Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
		Busy:     []byte("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
	}
	s.server.Handler = handler
	for _, c := range configure {
		c(s)
	}
	Observe(&s.server)
	s.served.Go(func() { _ = s.server.Serve(s.listener) })
	t.Cleanup(func() {
		s.Check(s.server.Close(), qt.IsNil)
		s.served.Wait()
	})
	return s
}

// dial returns a connection to the server, and a reader of its responses.
func (s *server) dial() (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.Assert(err, qt.IsNil)
	s.TB.(*testing.T).Cleanup(func() { conn.Close() })
	s.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func (s *server) read(r *bufio.Reader) (status int, body string) {
	response, err := http.ReadResponse(r, nil)
	s.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	s.Assert(err, qt.IsNil)
	return response.StatusCode, string(data)
}

func (s *server) waitFor(description string, condition func() bool) {
	s.Assert(prover.WaitUntil(s.TB.(*testing.T).Context(), prover.WaitOptions{Timeout: 30 * time.Second}, description, condition), qt.IsNil)
}

func answerBody(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	fmt.Fprintf(w, "%d %v", n, err)
}

// lines returns header lines of the size.
func lines(size int) string {
	return strings.Repeat("a:\r\n", size/4)
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

// A head within the limit is served, one over it is refused with a response, whether it ends or not.
func TestAHeadOverTheLimitIsRefused(t *testing.T) {
	s := startServer(t, 16<<10, answerBody)
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"within":       {head + lines(15<<10) + "Content-Length: 0\r\n\r\n", http.StatusOK},
		"over":         {head + lines(40<<10) + "Content-Length: 0\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"without end":  {head + lines(40<<10), http.StatusRequestHeaderFieldsTooLarge},
		"one line":     {head + "A: " + strings.Repeat("x", 40<<10), http.StatusRequestHeaderFieldsTooLarge},
		"a large body": {head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), http.StatusOK},
	} {
		conn, r := s.dial()
		_, err := io.WriteString(conn, test.text)
		s.Assert(err, qt.IsNil)
		status, _ := s.read(r)
		s.Check(status, qt.Equals, test.status, qt.Commentf(name))
	}
}

// A body that the handler leaves unread, and the requests behind it, don't count towards the head of the next one.
func TestAnUnreadBodyIsNoHead(t *testing.T) {
	s := startServer(t, 16<<10, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerBody(w, r)
	})
	conn, r := s.dial()
	unread := strings.Replace(head, "/ ", "/unread ", 1) + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x\n", 50000)
	for range 3 {
		_, err := io.WriteString(conn, unread+head+"Content-Length: 3\r\n\r\nabc")
		s.Assert(err, qt.IsNil)
		status, _ := s.read(r)
		s.Assert(status, qt.Equals, http.StatusNotFound)
		status, body := s.read(r)
		s.Assert(status, qt.Equals, http.StatusOK)
		s.Assert(body, qt.Equals, "3 <nil>")
	}
}

// Pipelined requests are served, and a connection gives back what its requests took.
func TestAnIdleConnectionHoldsNoRequest(t *testing.T) {
	s := startServer(t, 16<<10, answerBody)
	conn, r := s.dial()
	const requests = 100
	go func() {
		_, _ = io.WriteString(conn, strings.Repeat(head+lines(1<<10)+"Content-Length: 5\r\n\r\nhello", requests))
	}()
	for range requests {
		status, body := s.read(r)
		s.Assert(status, qt.Equals, http.StatusOK)
		s.Assert(body, qt.Equals, "5 <nil>")
	}
	// The last answer is sent before the server is done with its request.
	s.waitFor("the requests have given their memory back", func() bool { return s.Usage().Bytes == connectionBytes })
	s.Assert(conn.Close(), qt.IsNil)
	s.waitFor("the connection has given its memory back", func() bool { return s.Usage() == Usage{} })
}

// A head for which there is no room is refused with a response that isn't run.
func TestAHeadWithoutRoomIsRefused(t *testing.T) {
	s := startServer(t, 1<<20, answerBody)
	s.SetLimits(Limits{Bytes: 1 << 20})
	other, err := s.Open(func() {})
	s.Assert(err, qt.IsNil)
	other.Serve()
	s.Assert(other.Reserve(700<<10), qt.IsNil)
	conn, r := s.dial()
	_, err = io.WriteString(conn, head+lines(15<<10))
	s.Assert(err, qt.IsNil)
	status, _ := s.read(r)
	s.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	small, r := s.dial()
	_, err = io.WriteString(small, head+"Content-Length: 5\r\n\r\nhello")
	s.Assert(err, qt.IsNil)
	status, _ = s.read(r)
	s.Assert(status, qt.Equals, http.StatusOK)
}

// The scanner finds the end of a head and the size of its body however the bytes are cut.
func TestTheSizeOfABodyIsKnownWithItsHead(t *testing.T) {
	c := qt.New(t)
	const limit = 1000
	for text, want := range map[string]struct{ lines, body int }{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n":                                              {3, 0},
		"\r\n\nPOST / HTTP/1.1\nHost: h\nContent-Length: 12\n\n":                         {6, 12},
		"POST / HTTP/1.1\r\ncontent-LENGTH:12\r\nContent-Length: 0034\r\n\r\n":           {4, 34},
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n":             {3, limit},
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":                          {3, limit},
		"POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n":                         {3, limit},
		"POST / HTTP/1.1\r\nX-Content-Length: 5\r\nA: Content-Length: 5\r\n\r\n":         {4, 0},
		"POST / HTTP/1.1\r\nContent-Length-And-More-Of-It: 5\r\nB: 7\r\n\r\n":            {4, 0},
		"POST /a:7 HTTP/1.1\r\nA: b\r\n Content-Length: 5\r\nTransfer-Encoded: \r\n\r\n": {5, 0},
	} {
		for step := 1; step <= len(text); step++ {
			var s requestScanner
			lines := 0
			for rest := text + "body\r\n\r\n"; rest != ""; {
				size := min(step, len(rest))
				lines += s.countLines([]byte(rest[:size]))
				rest = rest[size:]
			}
			c.Assert(s.ended, qt.IsTrue, qt.Commentf("%q", text))
			c.Assert(lines, qt.Equals, want.lines, qt.Commentf("%q", text))
			c.Assert(s.bodyBytes(limit), qt.Equals, want.body, qt.Commentf("%q", text))
		}
	}
}
