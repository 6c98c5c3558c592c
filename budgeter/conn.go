package budgeter

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// rejectTimeout and maxDiscarded, in bytes, limit the reading of what a rejected client still sends, without which it may not see the
	// response.
	rejectTimeout = 500 * time.Millisecond
	maxDiscarded  = 64 << 10
)

// conn is a client's connection, which charges the heads of requests to its account as they are read.
type conn struct {
	net.Conn
	*Account
	listener *Listener
	meter    meter

	// inBody means that the reads belong to a body, which its reader charges, or that a request is being answered.
	inBody atomic.Bool
	// multiplexed means that the connection carries several requests at once, whose bodies are charged by their handlers.
	multiplexed bool
	// charged is what the current request holds beside its body.
	charged Bytes
}

// Read reads from the connection. A head without room, or over the size limit, gets a refusal and ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.multiplexed {
		c.touch()
		return n, err
	}
	if c.inBody.Load() {
		c.meter.readBody(p[:n])
		return n, err
	}
	if c.listener.HTTP2 && c.meter.beginsHTTP2(p[:n]) {
		c.multiplexed = true
		c.touch()
		return n, err
	}
	if c.meter.headBytes == 0 {
		c.enter(receiving)
	}
	cost := c.meter.readHead(p[:n])
	if limit := c.listener.HeadBytes; limit != nil && c.meter.headBytes > limit() {
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
		// Other servers become active with the first byte.
		c.inBody.Store(!c.listener.WholeRequests)
	case http.StateIdle:
		c.Release(c.charged)
		c.charged = 0
		c.meter.endRequest()
		c.enter(idle)
		c.inBody.Store(false)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}
