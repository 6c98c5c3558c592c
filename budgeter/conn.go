package budgeter

import (
	"bytes"
	"context"
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
	// headByteCost and headLineCost are the memory that a byte and a line of a head take once it is parsed and copied.
	headByteCost Bytes = 2
	headLineCost Bytes = 256
	// readAhead is the most that a server reads beyond a request's end.
	readAhead = 4 << 10
	// rejectTimeout and maxDiscarded limit the reading of what a rejected client still sends, without which it may not see the response.
	rejectTimeout = 500 * time.Millisecond
	maxDiscarded  = 64 << 10
)

// conn is a client's connection, which charges the heads of requests to its account as they are read.
type conn struct {
	net.Conn
	*Account
	listener *Listener

	// inBody means that the reads belong to a body, which its reader charges, or that a request is being answered.
	inBody atomic.Bool
	// headBytes counts the bytes of the current head, charged is what its request holds so far.
	headBytes int
	charged   Bytes
	// ahead is the charge for what was read last, as the next head may begin in it.
	ahead Bytes
}

// Read reads from the connection. A head without room, or over the size limit, gets a refusal and ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost := Bytes(n)*headByteCost + Bytes(bytes.Count(p[:n], []byte("\n")))*headLineCost
	if c.inBody.Load() {
		c.ahead = 0
		if n <= readAhead {
			c.ahead = cost
		}
		return n, err
	}
	ahead := cost
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
		c.inBody.Store(true)
	case http.StateIdle:
		c.Release(c.charged)
		c.charged, c.headBytes = 0, 0
		c.enter(idle)
		c.inBody.Store(false)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Observe makes the server tell its connections which part of a request they carry; all its listeners must be a Listener.
func Observe(server *http.Server) {
	server.ConnState = func(from net.Conn, state http.ConnState) {
		if c, ok := from.(*conn); ok {
			c.observe(state)
		}
	}
	server.ConnContext = func(ctx context.Context, from net.Conn) context.Context {
		if c, ok := from.(*conn); ok {
			return context.WithValue(ctx, accountKey{}, c.Account)
		}
		return ctx
	}
}

type accountKey struct{}

// AccountOf returns the account of the connection that a request came on; nil if it has none.
func AccountOf(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
