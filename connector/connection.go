package connector

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// readBuffer and writeBuffer suit responses of a few KB and events of some 60 bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sets no limit.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutFraction is the fraction of the endpoint's own idle limit for which a connection is used,
	// so that a request isn't sent while the endpoint closes the connection.
	idleTimeoutFraction = 0.6
)

// connection is an open connection to an endpoint.
type connection struct {
	headLimiter
	address dotterelpulley.Address
	reader  *bufio.Reader
	writer  *bufio.Writer
	// number tells the connection from the others of its connector.
	number ConnectionNumber
	// carried are the requests that were sent on the connection.
	carried carriedIDs
	// usableUntil is when the idle connection expires.
	usableUntil time.Time
	// heard, if set, is called when bytes have arrived.
	heard func()
	// onReadTimeout, if set, decides whether a read goes on after its time limit.
	onReadTimeout func() bool
}

func newConnection(number ConnectionNumber, address dotterelpulley.Address, conn net.Conn) *connection {
	c := &connection{
		headLimiter: headLimiter{Conn: conn},
		number:      number,
		address:     address,
		writer:      bufio.NewWriterSize(conn, writeBuffer),
	}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// reset closes the connection at once. What has been sent and not received, as a partition holds it up, is lost, so that a
// request which is given up doesn't run later.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// A connection that is closed already can't be reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// maxKeepAliveCount is the largest number of probes that systems accept.
const maxKeepAliveCount = 127

// setKeepAliveCount sets how many keep-alive probes in a row may stay unanswered.
func (c *connection) setKeepAliveCount(count int) error {
	const unchanged = -1
	tcp, ok := c.Conn.(interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
	})
	if !ok {
		return nil
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: unchanged, Interval: unchanged, Count: min(count, maxKeepAliveCount)})
}

// Read reads from the connection. It handles time limits itself, because the readers above it would keep the error.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.headLimiter.Read(p)
		if n > 0 && c.heard != nil {
			c.heard()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.onReadTimeout == nil || !c.onReadTimeout() {
			return n, err
		}
	}
}

// usable reports whether the idle connection hasn't expired, is open and has no unread data.
func (c *connection) usable(now time.Time) bool {
	if now.After(c.usableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleTimeoutOf returns how long a connection is kept idle after a response with the Keep-Alive header.
func idleTimeoutOf(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleTimeoutFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// dialError wraps a failure to connect, before which no request can have been sent.
func dialError(address dotterelpulley.Address, err error) error {
	return &ExchangeError{MaybeSent: false, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: fmt.Errorf("connect to %s: %w", address, err)}
}
