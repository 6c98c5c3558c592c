package connector

import (
	"bytes"
	"errors"
	"net"
	"net/http"

	"github.com/dotterelpulley/dotterelpulley/abbreviator"
	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

const (
	// maxHeadBytes limits the head of a response, like that of a caller's request; what is buffered with it may exceed it.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a head, each of which costs many times its bytes once it is parsed.
	maxHeadLines = 1000
	// protocolPrefix begins every response.
	protocolPrefix = "HTTP/"
)

var (
	errHeadTooLarge = errors.New("the head of the response exceeds the size limit")
	errNoResponse   = errors.New("the endpoint sent bytes that are no response")
)

// headLimiter is a connection of which reads fail while the head of a response exceeds its limits.
type headLimiter struct {
	net.Conn
	inHead bool
	bytes  int
	lines  int
}

// beginHead makes the following reads count towards the limits of a head.
func (l *headLimiter) beginHead() {
	l.inHead, l.bytes, l.lines = true, 0, 0
}

// endHead makes the following reads unlimited.
func (l *headLimiter) endHead() {
	l.inHead = false
}

// Read reads from the connection.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.Conn.Read(b)
	}
	if l.bytes >= maxHeadBytes || l.lines >= maxHeadLines {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(b)
	l.bytes += n
	l.lines += bytes.Count(b[:n], []byte("\n"))
	return n, err
}

// readHead reads the head of the next response to a request with the method.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.beginHead()
	defer c.endHead()
	for n := range len(protocolPrefix) {
		begun, err := c.reader.Peek(n + 1)
		if err != nil {
			return nil, err
		}
		if begun[n] != protocolPrefix[n] {
			return nil, errNoResponse
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		// The parser quotes what it couldn't read.
		return nil, abbreviator.Error(err)
	}
	return response, verifier.CheckHead(response)
}
