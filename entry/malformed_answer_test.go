package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// An endpoint's head that doesn't follow the protocol was taken for its answer; one with status 000 for a success.
func TestAMalformedHeadIsNoAnswerOfAnEndpoint(t *testing.T) {
	c := qt.New(t)
	for name, text := range map[string]string{
		"status 000":                    "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nhello",
		"status 099":                    "HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\nhello",
		"status 999":                    "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\nhello",
		"blank in a name":               "HTTP/1.1 200 OK\r\nX-A B: c\r\nContent-Length: 5\r\n\r\nhello",
		"blank after the length's name": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello",
		"blank after the coding's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"control byte in a name":        "HTTP/1.1 200 OK\r\nX-A\x01: c\r\nContent-Length: 5\r\n\r\nhello",
	} {
		err := callOnce(c, text)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	for name, text := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"neither":       "HTTP/1.1 200 OK\r\n\r\nhello",
		"no reason":     "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
		"a head's text": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\r\n:\r\n",
	} {
		c.Check(callOnce(c, text), qt.IsNil, qt.Commentf("%s", name))
	}
}

// callOnce calls an endpoint that answers with the text, and reads the whole answer.
func callOnce(c *qt.C, text string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var serving conc.WaitGroup
	defer serving.Wait()
	defer listener.Close()
	serving.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	})
	call := newCall(dotterelpulley.Address(listener.Addr().String()), "/v1/call", Timeouts{Dial: 5 * time.Second, FirstByte: 5 * time.Second, Idle: 5 * time.Second})
	defer call.close()
	if err := call.do(context.Background()); err != nil {
		return err
	}
	_, err = io.ReadAll(call.body())
	return err
}
