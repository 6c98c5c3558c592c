package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/platform"
)

// An endpoint answered a long upload at once, without a length, and reset the connection: callers got the part that had come as a whole
// answer.
func TestAResetDuringTheUploadLooksLikeAWholeAnswer(t *testing.T) {
	s := newSite(t)
	s.publishLargeBodies()
	for service, text := range map[string]string{
		"plain": signedHead + "\r\ntoo much", "model": signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
	} {
		s.resettingEndpoint("i-"+service, service, text)
	}
	g := s.startReadyGateway()
	s.waitForAllowance(g, 200)
	body := strings.Repeat("x", 4<<20)
	for _, path := range []string{"/call/", "/open/", "/plan/"} {
		complete := 0
		for range 20 {
			if a := s.post(g, path, body); a.err == nil && a.status == http.StatusOK {
				complete++
			}
		}
		s.Check(complete, qt.Equals, 0, qt.Commentf("%s", path))
	}
}

// resettingEndpoint starts and registers an endpoint that reads a little of each request, answers it with the text and resets the
// connection.
func (s *site) resettingEndpoint(id, service, text string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	var serving conc.WaitGroup
	s.TB.(*testing.T).Cleanup(serving.Wait)
	s.TB.(*testing.T).Cleanup(func() { listener.Close() })
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r.Body, 8<<10)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Dotterelpulley-Attempt-Id")))
				// Without a linger time, Close resets the connection.
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
		}
	})
	s.store.Put(platform.EndpointsTopic, id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, service, listener.Addr()))
}
