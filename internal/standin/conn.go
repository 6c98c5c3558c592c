package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener wraps each accepted connection so that faults can be injected into it.
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
	if !l.server.addConn(c) {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// addConn registers an open connection and reports whether the server still listens.
func (s *server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return false
	}
	s.conns[c] = struct{}{}
	s.open.Add(1)
	return true
}

// conn is a connection that can be silenced: data is then lost in both directions and the connection stays open.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
	ended  chan struct{}
	once   sync.Once
}

// Read reads from the connection; once it is silenced, Read blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.ended
	return 0, errSilent
}

// Write writes to the connection, or discards the bytes if it is silenced.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; the peer of a silenced one sees it open until the stand-in closes.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.ended)
		if !c.server.removeConn(c) {
			err = c.Conn.Close()
		}
	})
	return err
}

// removeConn unregisters the connection and reports whether it is silenced and so has to stay open.
func (s *server) removeConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	keepOpen := c.silent.Load() && !s.closed
	if keepOpen {
		s.silenced = append(s.silenced, c.Conn)
	}
	return keepOpen
}
