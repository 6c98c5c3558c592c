package budgeter

import (
	"bytes"
)

const (
	// requestBytes is what a request holds beside its head and body.
	requestBytes Bytes = 8 << 10
	// byteCost is the memory that a byte takes once it is copied, headLineCost that of a line of a head once it is parsed.
	byteCost     Bytes = 2
	headLineCost Bytes = 256
	// readAhead is the most that a server reads beyond a request's end, in bytes.
	readAhead = 4 << 10
)

// http2Preface begins a connection of HTTP/2.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// meter determines from a connection's bytes what its requests are charged; the zero value is for a server whose handlers read bodies.
//
// Answers the load pattern of heads of many short lines, which take many times their bytes, and of heads without end: each part is charged
// before it is parsed.
type meter struct {
	// wholeRequests means that the server reads bodies of up to bodyLimit bytes before its handlers are called.
	wholeRequests bool
	bodyLimit     int
	scanner       requestScanner
	// headBytes counts the bytes of the current head.
	headBytes int
	// preface counts the bytes of the HTTP/2 preface that the connection has begun with.
	preface int
	// ahead is the charge for what was read last, as the next head may begin in it.
	ahead Bytes
}

// readHead returns the charge for a part of a head, and of what may follow it.
func (m *meter) readHead(p []byte) Bytes {
	cost := m.costOf(p)
	ahead := m.ahead
	m.ahead = cost
	if m.headBytes == 0 {
		cost += requestBytes + ahead
	}
	m.headBytes += len(p)
	return cost
}

// readBody notes a part of a body, whose reader charges it.
func (m *meter) readBody(p []byte) {
	m.ahead = 0
	if len(p) <= readAhead {
		m.ahead = m.costOf(p)
	}
}

// endRequest makes the next bytes those of another head.
func (m *meter) endRequest() {
	m.headBytes, m.scanner = 0, requestScanner{}
}

// beginsHTTP2 reports whether the connection's bytes up to the given ones begin with the preface of HTTP/2.
func (m *meter) beginsHTTP2(p []byte) bool {
	// The bytes before these have matched if they weren't more.
	if m.headBytes != m.preface || m.preface == len(http2Preface) {
		return false
	}
	rest := http2Preface[m.preface:]
	if size := min(len(p), len(rest)); string(p[:size]) == rest[:size] {
		m.preface += size
	}
	return m.preface == len(http2Preface)
}

// costOf returns the memory that the bytes of a request take once they are parsed.
func (m *meter) costOf(p []byte) Bytes {
	if !m.wholeRequests {
		return Bytes(len(p))*byteCost + Bytes(bytes.Count(p, []byte("\n")))*headLineCost
	}
	if m.scanner.ended {
		return 0
	}
	cost := Bytes(len(p))*byteCost + Bytes(m.scanner.countLines(p))*headLineCost
	if m.scanner.ended {
		// The server may make room for the whole body at once.
		cost += Bytes(m.scanner.bodyBytes(m.bodyLimit)) * byteCost
	}
	return cost
}
