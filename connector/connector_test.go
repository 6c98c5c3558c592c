package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startScriptedServer answers each request of a connection with the next text; an empty text closes the connection.
func startScriptedServer(c *qt.C, answers ...string) (dotterelpulley.Address, <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { l.Close() })
	connections := make(chan int, 100)
	go func() {
		next, count := 0, 0
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			count++
			connections <- count
			reader := bufio.NewReader(conn)
			for next < len(answers) {
				r, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					break
				}
				text := answers[next]
				next++
				if text == "" {
					break
				}
				if _, err := io.WriteString(conn, text); err != nil {
					break
				}
				if strings.Contains(text, "Connection: close") {
					break
				}
			}
			conn.Close()
		}
	}()
	return dotterelpulley.Address(l.Addr().String()), connections
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) Request {
	return Request{
		Method: http.MethodPost, Target: "/x", Host: "h", ID: id, Header: http.Header{}, Body: []byte("body"),
		MatchesResponse: func(h ResponseHead) bool { return h.Header.Get("Id") == id },
	}
}

// exchange sends one request and reads its response.
func exchange(p *Connector, address dotterelpulley.Address, r Request) (string, error) {
	x, err := p.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(x.Body)
	if err != nil {
		x.Abort()
		return string(data), err
	}
	x.Release()
	return string(data), nil
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	address, connections := startScriptedServer(c, completeResponse("1", "one"), completeResponse("2", "two"))
	var p Connector
	defer p.Close()
	got, err := exchange(&p, address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "one")
	got, err = exchange(&p, address, newRequest("2"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "two")
	c.Assert(connections, qt.HasLen, 1)
}

// A body that an endpoint sent after a 304 came before the answer to the next request, which failed though the endpoint ran it.
func TestAConnectionIsNotReusedAfterAnAnswerWithoutABody(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ method, answer string }{
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 7\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\n"},
	} {
		address, connections := startScriptedServer(c, test.answer, completeResponse("2", "two"))
		var p Connector
		first := newRequest("1")
		first.Method, first.Body = test.method, nil
		got, err := exchange(&p, address, first)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "")
		c.Assert(p.idle, qt.HasLen, 0)
		c.Assert(connections, qt.HasLen, 1)
		p.Close()
	}
}

func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	c := qt.New(t)
	for _, first := range []string{
		completeResponse("1", "one") + completeResponse("1", "one"),
		completeResponse("1", "one") + "garbage",
	} {
		address, _ := startScriptedServer(c, first, completeResponse("2", "two"))
		var p Connector
		got, err := exchange(&p, address, newRequest("1"))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "one")
		got, err = exchange(&p, address, newRequest("2"))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "two")
		p.Close()
	}
}

func TestLateResponseIsSkipped(t *testing.T) {
	c := qt.New(t)
	address, connections := startScriptedServer(c, completeResponse("0", "late")+completeResponse("1", "one"))
	var p Connector
	defer p.Close()
	got, err := exchange(&p, address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "one")
	c.Assert(connections, qt.HasLen, 1)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nshort\r\n",
	} {
		address, _ := startScriptedServer(c, text)
		var p Connector
		got, err := exchange(&p, address, newRequest("1"))
		c.Assert(got, qt.Equals, "short")
		c.Assert(err, qt.IsNotNil)
		p.Close()
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	address, connections := startScriptedServer(c, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nall", completeResponse("2", "two"))
	var p Connector
	defer p.Close()
	got, err := exchange(&p, address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "all")
	_, err = exchange(&p, address, newRequest("2"))
	c.Assert(err, qt.IsNil)
	c.Assert(connections, qt.HasLen, 2)
}

func TestARequestIsNeverSentTwice(t *testing.T) {
	c := qt.New(t)
	address, connections := startScriptedServer(c, completeResponse("1", "one"), "", completeResponse("2", "two"))
	var p Connector
	defer p.Close()
	_, err := exchange(&p, address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	_, err = exchange(&p, address, newRequest("2"))
	var failure *ExchangeError
	c.Assert(err, qt.ErrorAs, &failure)
	c.Assert(failure.MaybeSent, qt.IsTrue)
	c.Assert(connections, qt.HasLen, 1)
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := dotterelpulley.Address(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	var p Connector
	defer p.Close()
	_, err = exchange(&p, address, newRequest("1"))
	var failure *ExchangeError
	c.Assert(err, qt.ErrorAs, &failure)
	c.Assert(failure.MaybeSent, qt.IsFalse)
	c.Assert(failure.ConnectionRefused, qt.IsTrue)
	c.Assert(p.RefusesConnections(context.Background(), address), qt.IsTrue)
}

func TestReadTimeoutEndsASilentResponse(t *testing.T) {
	c := qt.New(t)
	address, _ := startScriptedServer(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort", completeResponse("2", "never asked for"))
	var p Connector
	defer p.Close()
	x, err := p.Do(context.Background(), address, newRequest("1"))
	c.Assert(err, qt.IsNil)
	defer x.Abort()
	c.Assert(x.SetReadTimeout(time.Millisecond), qt.IsNil)
	_, err = io.ReadAll(x.Body)
	var timeout net.Error
	c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
}

func TestIdleConnectionsAreKeptWithinTheEndpointsLimit(t *testing.T) {
	c := qt.New(t)
	c.Assert(idleTimeoutOf(""), qt.Equals, defaultIdleTimeout)
	c.Assert(idleTimeoutOf("timeout=10, max=5"), qt.Equals, 6*time.Second)
	c.Assert(idleTimeoutOf("timeout=0"), qt.Equals, time.Duration(0))
}

// A body must be readable to its end after a pause that was longer than the time limit.
func TestAReadGoesOnAfterItsTimeLimit(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	proceed := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for _, part := range []string{"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\no", "ne\r\n0\r\n\r\n"} {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			<-proceed
		}
	}()
	var p Connector
	defer p.Close()
	r := newRequest("1")
	r.Body = nil
	x, err := p.Do(context.Background(), dotterelpulley.Address(l.Addr().String()), r)
	c.Assert(err, qt.IsNil)
	timeouts := 0
	x.OnReadTimeout(func() bool {
		timeouts++
		if timeouts == 2 {
			close(proceed)
			return x.SetReadTimeout(0) == nil
		}
		return x.SetReadTimeout(time.Millisecond) == nil
	})
	c.Assert(x.SetReadTimeout(time.Millisecond), qt.IsNil)
	data, err := io.ReadAll(x.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "one")
	c.Assert(timeouts, qt.Equals, 2)
	x.Release()
}
