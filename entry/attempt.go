package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

// attemptResult is the outcome of one attempt at an endpoint.
type attemptResult interface {
	attemptResult()
}

// attemptCompleted means that the complete answer was received.
type attemptCompleted struct{}

// Reasons why an attempt was not started.
const (
	reasonNotAdmitted  = "not-admitted"
	reasonNotConnected = "connect"
)

// attemptNotStarted means that the endpoint provably started nothing.
type attemptNotStarted struct{ reason string }

// attemptInterrupted means that the answer stopped before its end and the run may still be active.
type attemptInterrupted struct{ err error }

// attemptFailed means that the endpoint processed the request and failed.
type attemptFailed struct{ detail string }

// attemptCancelled means that the attempt's context ended before the answer was complete.
type attemptCancelled struct{}

func (attemptCompleted) attemptResult()   {}
func (attemptNotStarted) attemptResult()  {}
func (attemptInterrupted) attemptResult() {}
func (attemptFailed) attemptResult()      {}
func (attemptCancelled) attemptResult()   {}

// errUnproved means that the refusal does not state whether the endpoint started the request.
var errUnproved = errors.New("the endpoint refused without stating that nothing started")

var errLeaseEnded = errors.New("the host may not dispatch the request any more")

// call is one HTTP call on a dedicated connection: opening it proves that the endpoint
// accepts connections, and a failure to open it proves that nothing was sent.
type call struct {
	client   fasthttp.HostClient
	request  *fasthttp.Request
	response *fasthttp.Response
	sent     atomic.Bool
	// mayStart is called right before the first byte is written; nil always allows it.
	mayStart func() bool
	// answerStarted reports whether the answer has started; if nil, it starts with the first byte received.
	answerStarted func() bool
	// firstByte limits each read until the answer has started, idle each read after that.
	firstByte time.Duration
	idle      time.Duration
	conn      atomic.Pointer[trackedConn]
}

func newCall(address dotterelpulley.Address, path string, timeouts Timeouts) *call {
	c := &call{
		request:   fasthttp.AcquireRequest(),
		response:  fasthttp.AcquireResponse(),
		firstByte: timeouts.FirstByte,
		idle:      timeouts.Idle,
	}
	c.client = fasthttp.HostClient{
		Addr:                      string(address),
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			return c.dial(addr, timeouts.Dial)
		},
	}
	c.request.SetRequestURI("http://" + string(address) + path)
	c.request.Header.SetMethod(http.MethodPost)
	c.request.Header.SetContentType("application/json")
	c.request.SetConnectionClose()
	return c
}

func (c *call) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if c.sent.Load() {
		return nil, errors.New("the call was already sent")
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: verifier.Conn{Conn: conn}, call: c}
	c.conn.Store(tracked)
	return tracked, nil
}

// do sends the request and reads the response header; it is aborted when ctx ends.
func (c *call) do(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	return c.client.Do(c.request, c.response)
}

// abort closes the connection if one is open.
func (c *call) abort() {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// body returns the response body as a stream.
func (c *call) body() io.Reader {
	return c.response.BodyStream()
}

// close closes the connection and releases the call's resources.
func (c *call) close() {
	c.abort()
	_ = c.response.CloseBodyStream()
	fasthttp.ReleaseRequest(c.request)
	fasthttp.ReleaseResponse(c.response)
}

// trackedConn records whether a byte may have been sent and limits the duration of each read.
type trackedConn struct {
	verifier.Conn
	call     *call
	received bool
}

// Write marks the call as sent before the first byte is written.
func (t *trackedConn) Write(p []byte) (int, error) {
	if !t.call.sent.Load() && t.call.mayStart != nil && !t.call.mayStart() {
		return 0, errLeaseEnded
	}
	t.call.sent.Store(true)
	return t.Conn.Write(p)
}

// answerStarted reports whether the answer has started.
func (t *trackedConn) answerStarted() bool {
	if t.call.answerStarted != nil {
		return t.call.answerStarted()
	}
	return t.received
}

// Read waits at most for the idle timeout, or for the first-byte timeout until the answer has started.
func (t *trackedConn) Read(p []byte) (int, error) {
	wait := t.call.idle
	if !t.answerStarted() {
		wait = t.call.firstByte
	}
	if err := t.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	n, err := t.Conn.Read(p)
	t.received = t.received || n > 0
	return n, err
}
