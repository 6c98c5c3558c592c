package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startEndlessServer answers a request with the beginning, and then sends the unit, or nothing if that is empty, until the
// connection is closed.
func startEndlessServer(c *qt.C, beginning, unit string) (address dotterelpulley.Address, sent *atomic.Int64, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { l.Close() })
	sent, ended := new(atomic.Int64), make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		text := []byte(beginning)
		many := []byte(strings.Repeat(unit, max(1, 4096/max(len(unit), 1))))
		for {
			n, err := conn.Write(text)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			if text = many; len(text) == 0 {
				_, _ = io.Copy(io.Discard, conn)
				return
			}
		}
	}()
	return dotterelpulley.Address(l.Addr().String()), sent, ended
}

// A head without end must not grow in memory until the process is killed or the request's time is up.
func TestAHeadWithoutEndFailsAtTheLimit(t *testing.T) {
	c := qt.New(t)
	const fields = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, test := range map[string]struct{ beginning, unit string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"field":             {fields + "X-Long: ", "x"},
		"fields":            {fields, "X-More: 1\r\n"},
		"short fields":      {fields, "a:\r\n"},
		"continued field":   {fields + "X-Long: 1\r\n", " x\r\n"},
		"interim responses": {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"other responses":   {completeResponse("0", "late"), completeResponse("0", "late")},
	} {
		address, sent, closed := startEndlessServer(c, test.beginning, test.unit)
		var p Connector
		_, err := p.Do(context.Background(), address, newRequest("1"))
		var failure *ExchangeError
		c.Assert(err, qt.ErrorAs, &failure, qt.Commentf("%s", name))
		c.Check(failure.MaybeSent, qt.IsTrue)
		<-closed
		c.Logf("%s: %v after %d KB", name, err, sent.Load()>>10)
		p.Close()
	}
}

// Bytes that can't become a response fail the exchange at once, however slowly they come.
func TestBytesThatAreNoResponseFailAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"bytes that are no response", "\r\n\r\n", "http/1.1 200 OK", "\x00", "HTTQ"} {
		address, _, closed := startEndlessServer(c, text, "")
		var p Connector
		_, err := p.Do(context.Background(), address, newRequest("1"))
		c.Check(errors.Is(err, errNoResponse), qt.IsTrue, qt.Commentf("%q: %v", text, err))
		<-closed
		p.Close()
	}
}

// The limits of a head must not cut what follows it, nor a head within them.
func TestAHeadWithinTheLimitIsReadWithItsBody(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("line\n", 4*maxHeadLines)
	large := strings.Repeat("X-Field: "+strings.Repeat("v", 100)+"\r\n", 500)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\n" + large + "Connection: close\r\n\r\n"
	c.Assert(len(head) < maxHeadBytes, qt.IsTrue)
	address, _ := startScriptedServer(c, head+body)
	var p Connector
	defer p.Close()
	x, err := p.Do(context.Background(), address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	defer x.Abort()
	got, err := io.ReadAll(x.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, body)
}

// What surrounds the content of a chunked body must not go on without end either.
func TestChunksWithoutContentFailAtALimit(t *testing.T) {
	c := qt.New(t)
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ beginning, unit string }{
		"chunk size":       {chunked, "0"},
		"chunk extension":  {chunked + "5;x=", "y"},
		"chunk extensions": {chunked, "1;x=" + strings.Repeat("y", 200) + "\r\nz\r\n"},
		"trailer":          {chunked + "0\r\nX-Long: ", "x"},
		"trailers":         {chunked + "0\r\n", "X-More: 1\r\n"},
	} {
		address, _, closed := startEndlessServer(c, test.beginning, test.unit)
		var p Connector
		x, err := p.Do(context.Background(), address, newRequest("1"))
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, x.Body)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
		c.Check(n < maxHeadBytes, qt.IsTrue, qt.Commentf("%s: %d bytes", name, n))
		x.Abort()
		<-closed
		p.Close()
	}
}

// An endpoint that goes on sending after a whole response fills the connection's buffers for as long as it is kept.
func TestAnIdleConnectionThatDeliversBytesIsClosed(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	flood, closed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=3600\r\nContent-Length: 0\r\n\r\n")
		for <-flood; err == nil; {
			_, err = io.WriteString(conn, "more")
		}
	}()
	address := dotterelpulley.Address(l.Addr().String())
	var p Connector
	defer p.Close()
	_, err = exchange(&p, address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	p.Prune(time.Now())
	c.Assert(p.idle[address], qt.HasLen, 1, qt.Commentf("a quiet connection is kept"))
	close(flood)
	for ended := false; !ended; {
		p.Prune(time.Now())
		select {
		case <-closed:
			ended = true
		default:
			runtime.Gosched()
		}
	}
	c.Assert(p.idle[address], qt.HasLen, 0)
}
