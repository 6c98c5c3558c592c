package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// directWrite is the largest body that is sent before the answer is read; it fits a socket's buffer.
	directWrite = 8 << 10
	// strayAnswers bounds the answers to other requests that are passed over on one connection.
	strayAnswers = 3
	// strayBytes bounds what is read of such an answer.
	strayBytes = 64 << 10
)

// Request is what is sent to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked tells that the caller sent the body in chunks, so that even an empty one has a length.
	Chunked bool
	// MatchesResponse reports whether an answer is the request's own; all are if it is nil.
	MatchesResponse func(http.Header) bool
}

// Exchange is an answer whose body is still to be read; Release or Abort must follow.
type Exchange struct {
	*http.Response

	connector *Connector
	conn      *connection
	stop      func() bool
	written   chan error
	once      sync.Once
}

// Do sends the request to the address and returns once the answer's headers are in.
//
// The exchange ends when the context does, also while the body is read.
func (p *Connector) Do(ctx context.Context, address dotterelpulley.Address, r Request) (*Exchange, error) {
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	x := &Exchange{connector: p, conn: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	if err := x.send(r); err != nil {
		x.abandon()
		return nil, &ExchangeError{MaybeSent: true, Cause: fmt.Errorf("send to %s: %w", address, err)}
	}
	if err := x.receive(r); err != nil {
		x.abandon()
		return nil, &ExchangeError{MaybeSent: true, Cause: fmt.Errorf("answer of %s: %w", address, err)}
	}
	return x, nil
}

func (x *Exchange) abandon() {
	x.stop()
	x.conn.Close()
}

// send writes the head, and a small body with it; a large body goes on beside the answer.
func (x *Exchange) send(r Request) error {
	w := x.conn.writer
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Chunked || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := w.WriteString(head.String()); err != nil {
		return err
	}
	r.Header.Del("Content-Length")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if len(r.Body) <= directWrite {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := w.Write(r.Body)
		if err == nil {
			err = w.Flush()
		}
		x.written <- err
	}()
	return nil
}

// receive reads heads until one belongs to the request.
func (x *Exchange) receive(r Request) error {
	for range strayAnswers {
		response, err := http.ReadResponse( //nolint:bodyclose // The body ends with the exchange, by Release or Abort.
			x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(response.Header) {
			x.Response = response
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes))
		if err != nil || n == strayBytes || response.Close {
			return errors.New("the connection carries the answer to another request")
		}
	}
	return errors.New("the connection carries only answers to other requests")
}

// Release keeps the connection for the next request if the answer's end leaves it in order.
//
// The body must have been read to its end.
func (x *Exchange) Release() {
	x.once.Do(func() {
		if !x.stop() || !x.reusable() || x.SetReadTimeout(0) != nil {
			x.conn.Close()
			return
		}
		x.connector.put(x.conn, keepFor(x.Header.Get("Keep-Alive")))
	})
}

// Abort closes the connection, which ends the request's run at most endpoints.
func (x *Exchange) Abort() {
	x.once.Do(x.abandon)
}

// reusable reports whether nothing but the answer has come and the whole request has gone.
func (x *Exchange) reusable() bool {
	if x.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// SetReadTimeout sets the longest time that the next reads of the body may take; zero lifts the limit.
func (x *Exchange) SetReadTimeout(limit time.Duration) error {
	if limit <= 0 {
		return x.conn.SetReadDeadline(time.Time{})
	}
	return x.conn.SetReadDeadline(time.Now().Add(limit))
}
