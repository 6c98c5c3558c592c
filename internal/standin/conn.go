package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener wraps each connection so that faults can reach it.
type listener struct {
	net.Listener
	server *server
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server, ended: make(chan struct{})}
	if !l.server.adopt(c) {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// adopt takes the connection among the open ones, unless the server is not listening any more.
func (s *server) adopt(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	s.conns[c] = struct{}{}
	s.open.Add(1)
	return true
}

// conn is a connection that can go silent: nothing it is sent arrives, nothing it sends leaves.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
	ended  chan struct{}
	once   sync.Once
}

// Read reads until the connection goes silent, and then waits for its end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.ended
	return 0, errSilent
}

// Write writes, or drops the bytes when the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; the other end of a silent one hears nothing of it until the stand-in ends.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.ended)
		if !c.server.leave(c) {
			err = c.Conn.Close()
		}
	})
	return err
}

// leave takes the connection out of the open ones and reports whether it has to stay up, silent as it is.
func (s *server) leave(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	mute := c.silent.Load() && !s.closed
	if mute {
		s.mute = append(s.mute, c.Conn)
	}
	return mute
}
