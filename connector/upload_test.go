package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startEarlyServer answers each connection after the head of its request and a little of the body, without a length, and then ends the
// connection by the function.
func startEarlyServer(c *qt.C, end func(conn *net.TCPConn)) dotterelpulley.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { l.Close() })
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				if _, err := io.CopyN(io.Discard, bufio.NewReaderSize(accepted, 1<<10), 8<<10); err != nil {
					return
				}
				if _, err := io.WriteString(accepted, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\ntoo much"); err == nil {
					end(accepted.(*net.TCPConn))
				}
			}()
		}
	}()
	return dotterelpulley.Address(l.Addr().String())
}

// uploadAndRead sends a request whose body doesn't fit the socket's buffer, and reads its response.
func uploadAndRead(p *Connector, address dotterelpulley.Address) (body string, err error) {
	r := newRequest("1")
	r.Method, r.Body = "POST", bytes.Repeat([]byte("x"), 8<<20)
	x, err := p.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	defer x.Abort()
	data, err := io.ReadAll(x.Body)
	return string(data), err
}

// An endpoint reset the connection while the request's body was being written. The write got the reset, so that the read ended like
// that of a whole response without a length.
func TestAResetOfTheUploadLooksLikeTheEndOfTheResponse(t *testing.T) {
	c := qt.New(t)
	address := startEarlyServer(c, func(conn *net.TCPConn) {
		// Without a linger time, Close resets the connection.
		_ = conn.SetLinger(0)
	})
	var p Connector
	defer p.Close()
	whole := 0
	for range 200 {
		if body, err := uploadAndRead(&p, address); err == nil {
			c.Assert(body, qt.Equals, "too much")
			whole++
		}
	}
	c.Assert(whole, qt.Equals, 0)
}

// An endpoint that ends its side of the connection has completed a response without a length, although it reads no more of the
// request (RFC 9112, sections 8 and 9.6).
func TestAResponseThatEndsBeforeTheUploadIsWhole(t *testing.T) {
	c := qt.New(t)
	read := make(chan struct{})
	defer close(read)
	address := startEarlyServer(c, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		<-read
	})
	var p Connector
	defer p.Close()
	body, err := uploadAndRead(&p, address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "too much")
}
