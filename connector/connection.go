package connector

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// readBuffer and writeBuffer suit answers of a few KB and events of some 60 bytes.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// defaultIdle is how long a connection is kept whose endpoint names no limit.
	defaultIdle = 5 * time.Second
	// idleShare is the part of the endpoint's own idle limit for which a connection is used,
	// so that a request doesn't cross the endpoint's close.
	idleShare = 0.6
)

// connection is an open connection to an endpoint.
type connection struct {
	net.Conn
	address dotterelpulley.Address
	reader  *bufio.Reader
	writer  *bufio.Writer
	// until is when the idle connection is no longer used.
	until time.Time
}

func newConnection(address dotterelpulley.Address, conn net.Conn) *connection {
	return &connection{
		Conn:    conn,
		address: address,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		writer:  bufio.NewWriterSize(conn, writeBuffer),
	}
}

// sound reports whether the idle connection is open and has nothing to read.
func (c *connection) sound(now time.Time) bool {
	if now.After(c.until) || c.reader.Buffered() > 0 {
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
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepFor returns how long an idle connection is used after an answer with that Keep-Alive header.
func keepFor(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}

// dialError wraps a failure to open a connection, which no request can have passed.
func dialError(address dotterelpulley.Address, err error) error {
	return &ExchangeError{MaybeSent: false, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: fmt.Errorf("connect to %s: %w", address, err)}
}
