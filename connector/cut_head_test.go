package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startCuttingServer answers the requests before the last one on a connection completely, and then sends the text and closes or
// resets the connection.
func startCuttingServer(c *qt.C, before int, text string, reset bool) dotterelpulley.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ended := make(chan struct{})
	c.TB.(*testing.T).Cleanup(func() {
		l.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := range before + 1 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			answer := completeResponse("earlier", "hello")
			if n == before {
				answer = text
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
		if reset {
			// Without a linger time, Close resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	return dotterelpulley.Address(l.Addr().String())
}

// An endpoint stopped within the head of its answer and closed the connection: callers got a success with an empty body that
// looked whole.
func TestAHeadThatIsCutIsNoAnswer(t *testing.T) {
	for name, field := range map[string]string{
		"length": "Content-Length: 5\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "connection": "Connection: close\r\n",
		"stream": "Content-Type: text/event-stream\r\n", "nothing": "", "no content": "Content-Length: 0\r\n",
	} {
		head := "HTTP/1.1 200 OK\r\nId: 1\r\n" + field + "\r\n"
		for _, reset := range []bool{false, true} {
			for before := range 2 {
				t.Run(fmt.Sprintf("%s, reset %t, after %d answers", name, reset, before), func(t *testing.T) {
					c := qt.New(t)
					for n := range len(head) {
						address := startCuttingServer(c, before, head[:n], reset)
						var p Connector
						for range before {
							_, err := exchange(&p, address, newRequest("earlier"))
							c.Assert(err, qt.IsNil)
						}
						x, err := p.Do(context.Background(), address, newRequest("1"))
						if err == nil {
							x.Abort()
						}
						var failure *ExchangeError
						c.Check(errors.As(err, &failure) && failure.MaybeSent, qt.IsTrue, qt.Commentf("cut after %q: %v", head[:n], err))
						p.Close()
					}
				})
			}
		}
	}
}
