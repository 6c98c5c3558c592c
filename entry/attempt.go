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
)

// attemptResult is how one attempt at an endpoint ended.
type attemptResult interface {
	attemptResult()
}

// attemptWhole says that the answer came whole.
type attemptWhole struct{}

// Reasons of an attempt that its endpoint refused, or that found no connection.
const (
	notAdmitted  = "not-admitted"
	notConnected = "connect"
)

// attemptNotStarted says that the endpoint provably started nothing.
type attemptNotStarted struct{ reason string }

// attemptBroken says that the answer stopped before its end and the run may go on.
type attemptBroken struct{ err error }

// attemptFailed says that the endpoint ran the request and failed.
type attemptFailed struct{ detail string }

// attemptCancelled says that nobody waits for the answer any more.
type attemptCancelled struct{}

func (attemptWhole) attemptResult()      {}
func (attemptNotStarted) attemptResult() {}
func (attemptBroken) attemptResult()     {}
func (attemptFailed) attemptResult()     {}
func (attemptCancelled) attemptResult()  {}

// errUnproved is a refusal that does not say whether anything started.
var errUnproved = errors.New("the endpoint refused without saying that nothing started")

var errLeaseEnded = errors.New("the host may not dispatch the request any more")

// call is one HTTP call on a connection of its own: a new connection proves that
// the endpoint takes connections, and one that never opened proves that nothing was sent.
type call struct {
	client   fasthttp.HostClient
	request  *fasthttp.Request
	response *fasthttp.Response
	sent     atomic.Bool
	// mayStart is asked right before the first byte leaves; nil means yes.
	mayStart func() bool
	// began tells whether the answer itself has begun; nil means with its first byte.
	began func() bool
	// firstByte is the wait until the answer has begun, idle the wait for each read from then on.
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
	tracked := &trackedConn{Conn: conn, call: c}
	c.conn.Store(tracked)
	return tracked, nil
}

// do sends the call and reads the answer's head; it ends when ctx does.
func (c *call) do(ctx context.Context) error {
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	return c.client.Do(c.request, c.response)
}

// abort closes the connection, if there is one.
func (c *call) abort() {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// body returns the answer's body as it comes.
func (c *call) body() io.Reader {
	return c.response.BodyStream()
}

// close ends the call and its connection.
func (c *call) close() {
	c.abort()
	_ = c.response.CloseBodyStream()
	fasthttp.ReleaseRequest(c.request)
	fasthttp.ReleaseResponse(c.response)
}

// trackedConn notes when a byte may have left and bounds the wait for each read.
type trackedConn struct {
	net.Conn
	call     *call
	answered bool
}

// Write marks the call as sent before the first byte may leave.
func (t *trackedConn) Write(p []byte) (int, error) {
	if !t.call.sent.Load() && t.call.mayStart != nil && !t.call.mayStart() {
		return 0, errLeaseEnded
	}
	t.call.sent.Store(true)
	return t.Conn.Write(p)
}

// begun reports whether the answer itself has begun.
func (t *trackedConn) begun() bool {
	if t.call.began != nil {
		return t.call.began()
	}
	return t.answered
}

// Read waits at most the idle time-out, or the first-byte time-out until the answer has begun.
func (t *trackedConn) Read(p []byte) (int, error) {
	wait := t.call.idle
	if !t.begun() {
		wait = t.call.firstByte
	}
	if err := t.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	n, err := t.Conn.Read(p)
	t.answered = t.answered || n > 0
	return n, err
}
