package budgeter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is what an open connection holds, its buffers and stack; requestBytes is that of a request beside its head and body.
	connectionBytes Bytes = 8 << 10
	requestBytes    Bytes = 8 << 10
	// byteCost is the memory that a byte takes once it is copied, headLineCost that of a line of a head once it is parsed.
	byteCost     Bytes = 2
	headLineCost Bytes = 256
	// readAhead is the most that a server reads beyond a request's end.
	readAhead = 4 << 10
	// rejectTimeout and maxDiscarded limit the reading of what a rejected client still sends, without which it may not see the response.
	rejectTimeout = 500 * time.Millisecond
	maxDiscarded  = 64 << 10
)

// http2Preface begins a connection of HTTP/2.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// conn is a client's connection, which charges the heads of requests to its account as they are read.
type conn struct {
	net.Conn
	*Account
	listener *Listener

	// unmetered means that the reads belong to a body, which its reader charges, or that a request is being answered.
	unmetered atomic.Bool
	// scanner finds the head's end where the server reads whole requests.
	scanner headScanner
	// headBytes counts the bytes of the current head, charged is what its request holds so far.
	headBytes int
	charged   Bytes
	// multiplexed means that the connection carries several requests at once, whose bodies are charged by their handlers.
	multiplexed bool
	// preface counts the bytes of the HTTP/2 preface that the connection has begun with.
	preface int
	// ahead is the charge for what was read last, as the next head may begin in it.
	ahead Bytes
}

// Read reads from the connection. A head without room, or over the size limit, gets a refusal and ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost := c.costOf(p[:n])
	if c.multiplexed {
		c.touch()
		return n, err
	}
	if c.unmetered.Load() {
		c.ahead = 0
		if n <= readAhead {
			c.ahead = cost
		}
		return n, err
	}
	ahead := cost
	if c.listener.HTTP2 && c.beginsHTTP2(p[:n]) {
		c.multiplexed = true
		c.touch()
		return n, err
	}
	if c.headBytes == 0 {
		cost += requestBytes + c.ahead
		c.enter(receiving)
	}
	c.headBytes += n
	c.ahead = ahead
	if limit := c.listener.HeadBytes; limit != nil && c.headBytes > limit() {
		return 0, c.reject(c.listener.TooLarge)
	}
	if c.Reserve(cost) != nil {
		return 0, c.reject(c.listener.Busy)
	}
	c.charged += cost
	return n, err
}

// beginsHTTP2 reports whether the connection's bytes up to the given ones begin with the preface of HTTP/2.
func (c *conn) beginsHTTP2(p []byte) bool {
	// The bytes before these have matched if they weren't more.
	if c.headBytes != c.preface || c.preface == len(http2Preface) {
		return false
	}
	rest := http2Preface[c.preface:]
	if size := min(len(p), len(rest)); string(p[:size]) == rest[:size] {
		c.preface += size
	}
	return c.preface == len(http2Preface)
}

// costOf returns the memory that the bytes of a request take once they are parsed.
func (c *conn) costOf(p []byte) Bytes {
	if !c.listener.WholeRequests {
		return Bytes(len(p))*byteCost + Bytes(bytes.Count(p, []byte("\n")))*headLineCost
	}
	if c.scanner.ended {
		return 0
	}
	cost := Bytes(len(p))*byteCost + Bytes(c.scanner.countLines(p))*headLineCost
	if c.scanner.ended {
		// The server may make room for the whole body at once.
		cost += Bytes(c.scanner.bodyBytes(c.listener.BodyBytes)) * byteCost
	}
	return cost
}

// reject sends the response in place of an answer to the request that is being read, and returns the error that ends its connection.
// The request stays charged until then, as the server holds what it has read.
func (c *conn) reject(response []byte) error {
	deadline := time.Now().Add(rejectTimeout)
	if c.SetDeadline(deadline) != nil {
		return io.EOF
	}
	if _, err := c.Write(response); err != nil || c.CloseWrite() != nil {
		return io.EOF
	}
	// The client hasn't read the response if this fails, and may not want it.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscarded))
	return io.EOF
}

// CloseWrite ends the sending side of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and its account.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.Account.Close()
	return err
}

// observe follows the server's states of the connection.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		// Other servers become active with the first byte.
		c.unmetered.Store(c.unmetered.Load() || !c.listener.WholeRequests)
	case http.StateIdle:
		c.Release(c.charged)
		c.charged, c.headBytes, c.scanner = 0, 0, headScanner{}
		c.enter(idle)
		c.unmetered.Store(false)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
