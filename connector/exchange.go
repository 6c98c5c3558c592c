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
	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

const (
	// maxInlineBody is the largest body that is sent before the response is read; it fits a socket's buffer.
	maxInlineBody = 8 << 10
	// maxStrayResponses limits the responses to other requests that are skipped on one connection.
	maxStrayResponses = 3
	// maxStrayBytes limits the bytes read of such a response.
	maxStrayBytes = 64 << 10
	// strayTimeout limits the time that such a response may take, longer than a sound endpoint falls silent.
	strayTimeout = 2 * time.Second
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the unchanged path and query.
	Target string
	Host   string
	// ID names the request in its responses. A connection carries it once, because an earlier response with it may come again;
	// a request without an id gets a new connection.
	ID     string
	Header http.Header
	Body   []byte
	// Chunked reports whether the caller sent a chunked body, for which a length is sent even if it is empty.
	Chunked bool
	// MatchesResponse reports whether a response belongs to the request; nil accepts all.
	MatchesResponse func(ResponseHead) bool
	// BeforeSend is called when there is a connection, right before the first byte is sent; its error keeps the request from being
	// sent. Nil allows it.
	BeforeSend func() error
	// OnSent is called when the head of the request is on its way, before the response is awaited; nil if nobody needs to know.
	OnSent func()
}

// ResponseHead is what tells whether a response belongs to a request.
type ResponseHead struct {
	StatusCode int
	Header     http.Header
	// Reused means that the connection was kept before the request, or has delivered a response to another one, so that this one may
	// be older.
	Reused bool
}

// ConnectionNumber tells the connections of one connector apart; the first is 1.
type ConnectionNumber uint64

// Carrier is what a connection has carried beside an exchange; the zero value is no connection.
type Carrier struct {
	Connection ConnectionNumber
	// Earlier counts the requests before the exchange's own.
	Earlier int
	// PassedOver reports whether no idle connection was used because all had carried requests of the same id, or the request has none.
	PassedOver bool
	// Strays counts the responses to other requests that were skipped.
	Strays int
}

// Exchange is a response whose body has yet to be read; Release or Abort must be called.
type Exchange struct {
	*http.Response
	Carrier
	// Reused is that of the response's head.
	Reused bool

	connector    *Connector
	conn         *connection
	stopWatching func() bool
	bodySent     chan error
	once         sync.Once
	// outlasting means that keep-alive probes go on for longer than on other connections.
	outlasting bool
}

// Do sends the request to the address and returns when the response's headers have been read.
//
// The exchange ends when the context is done, even while the body is read. A request whose context is done when there is a
// connection isn't sent.
func (p *Connector) Do(ctx context.Context, address dotterelpulley.Address, r Request) (*Exchange, error) {
	c, passedOver := p.takeIdle(address, r.ID)
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if err := r.permitSend(ctx); err != nil {
		p.returnUnused(c, reused)
		return nil, &ExchangeError{Withdrawn: true, Cause: fmt.Errorf("not sent to %s: %w", address, err)}
	}
	x := &Exchange{connector: p, conn: c, Reused: reused, Carrier: Carrier{Connection: c.number, Earlier: len(c.carried), PassedOver: passedOver}, stopWatching: context.AfterFunc(ctx, c.reset)}
	p.activity.begin(time.Now())
	if err := x.send(r); err != nil {
		x.closeConnection()
		return nil, &ExchangeError{MaybeSent: true, Carrier: x.Carrier, Cause: fmt.Errorf("send to %s: %w", address, err)}
	}
	if r.OnSent != nil {
		r.OnSent()
	}
	if err := x.receive(r); err != nil {
		x.closeConnection()
		return nil, &ExchangeError{MaybeSent: true, Carrier: x.Carrier, Cause: fmt.Errorf("receive from %s: %w", address, err)}
	}
	return x, nil
}

// permitSend returns why the request must not be sent any more, if anything keeps it from that.
func (r Request) permitSend(ctx context.Context) error {
	if err := ctx.Err(); err != nil || r.BeforeSend == nil {
		return err
	}
	return r.BeforeSend()
}

// returnUnused keeps a connection on which nothing was sent; reused means that it was idle before.
func (p *Connector) returnUnused(c *connection, reused bool) {
	idleTimeout := defaultIdleTimeout
	if reused {
		idleTimeout = time.Until(c.usableUntil)
	}
	p.putIdle(c, idleTimeout)
}

func (x *Exchange) closeConnection() {
	x.connector.activity.end()
	x.stopWatching()
	x.conn.reset()
}

// send writes the headers with a small body; a large body is sent concurrently with the response.
func (x *Exchange) send(r Request) error {
	x.conn.carried.add(carriedIDOf(r.ID))
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
	if len(r.Body) <= maxInlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	x.bodySent = make(chan error, 1)
	go func() {
		_, err := w.Write(r.Body)
		if err == nil {
			err = w.Flush()
		}
		x.bodySent <- err
	}()
	return nil
}

// receive reads response headers until a response belongs to the request.
func (x *Exchange) receive(r Request) error {
	for range maxStrayResponses {
		response, err := x.conn.readHead(r.Method) //nolint:bodyclose // The body is closed with the exchange, by Release or Abort.
		if err != nil {
			return err
		}
		if verifier.IsInterim(response.StatusCode) {
			continue
		}
		if err := verifier.CheckFinal(response); err != nil {
			return err
		}
		if r.MatchesResponse == nil || r.MatchesResponse(ResponseHead{StatusCode: response.StatusCode, Header: response.Header, Reused: x.Reused}) {
			x.Response = response
			verifier.CheckTrailer(response)
			if x.bodySent != nil && x.EndsWithConnection() {
				response.Body = uploadBody{ReadCloser: response.Body, exchange: x}
			}
			return nil
		}
		x.Strays++
		x.Reused = true
		if err := x.skipStray(response); err != nil {
			return err
		}
	}
	return errors.New("the connection delivered only responses to other requests")
}

// skipStray reads the rest of a response to another request.
func (x *Exchange) skipStray(response *http.Response) error {
	if err := x.SetReadTimeout(strayTimeout); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	if err != nil || n == maxStrayBytes || response.Close {
		return errors.New("the connection delivered the response to another request")
	}
	return x.SetReadTimeout(0)
}

// Release keeps the connection for the next request if the response leaves it reusable.
//
// The body must have been read to its end.
func (x *Exchange) Release() {
	x.once.Do(func() {
		x.connector.activity.end()
		x.conn.onReadTimeout = nil
		if !x.stopWatching() || !x.reusable() || x.SetReadTimeout(0) != nil || !x.endOutlasting() {
			x.conn.Close()
			return
		}
		x.connector.putIdle(x.conn, idleTimeoutOf(x.Header.Get("Keep-Alive")))
	})
}

// endOutlasting reports whether the connection ends as soon as others when its endpoint is silent.
func (x *Exchange) endOutlasting() bool {
	return !x.outlasting || x.conn.setKeepAliveCount(keepAliveCount) == nil
}

// Abort closes the connection, which cancels the request's run at most endpoints.
func (x *Exchange) Abort() {
	x.once.Do(x.closeConnection)
}

// reusable reports whether the whole request was sent and nothing but its response was received.
func (x *Exchange) reusable() bool {
	if x.Close || x.conn.reader.Buffered() > 0 || x.bodyless() || x.conn.carried.full() {
		return false
	}
	if x.bodySent == nil {
		return true
	}
	select {
	case err := <-x.bodySent:
		return err == nil
	default:
		return false
	}
}

// bodyless reports whether the response has no body whatever its headers say. An endpoint that sends one all the same may still be
// sending it, which would come before the next response.
func (x *Exchange) bodyless() bool {
	return x.StatusCode == http.StatusNoContent || x.StatusCode == http.StatusNotModified || x.Request.Method == http.MethodHead
}

// SetReadTimeout limits how long the following reads of the body may take in total; zero removes the limit.
func (x *Exchange) SetReadTimeout(limit time.Duration) error {
	if limit <= 0 {
		return x.conn.SetReadDeadline(time.Time{})
	}
	return x.conn.SetReadDeadline(time.Now().Add(limit))
}

// OutlastSilence keeps keep-alive probes from ending the connection until the endpoint has been silent for about the time; Release
// ends that.
func (x *Exchange) OutlastSilence(limit time.Duration) error {
	x.outlasting = true
	return x.conn.setKeepAliveCount(int(max(limit-keepAliveIdle, 0)/keepAliveInterval) + 1)
}

// OnReadTimeout sets the function that is called when a read of the body has reached its time limit. The read goes on if it
// returns true; it may set another limit.
func (x *Exchange) OnReadTimeout(proceed func() bool) {
	x.conn.onReadTimeout = proceed
}
