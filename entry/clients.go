package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/certifier"
)

const (
	// clientMemoryFraction is the fraction of a host's memory that clients may make it hold, as the collector lets the heap double.
	clientMemoryFraction = 0.25
	// busyRetryAfter is the delay for callers whose request finds no room.
	busyRetryAfter = time.Second
	// maxPeerHeadBytes limits the head of a request of another host.
	maxPeerHeadBytes = 64 << 10
)

func clientLimits(l Limits) budgeter.Limits {
	return budgeter.Limits{Bytes: budgeter.Bytes(clientMemoryFraction * float64(l.MemoryBytes)), Connections: l.Connections}
}

// limitApp makes the app's listener, which TLS may already wrap, accept connections within the budget of all clients.
func (e *Entry) limitApp(app *fiber.App, listener net.Listener) net.Listener {
	budgeter.ObserveFast(app.Server())
	return &budgeter.Listener{
		Listener: listener, Budget: &e.clients, WholeRequests: true, BodyBytes: app.Config().BodyLimit, Busy: busyResponse(),
	}
}

// markReceived keeps a request that has been received whole from being closed for others.
func markReceived(c fiber.Ctx) error {
	budgeter.AccountOfFast(c.RequestCtx()).Serve()
	return c.Next()
}

// limitPeers makes the listener for other hosts accept connections within the budget of all clients, below its TLS.
func (e *Entry) limitPeers(listener net.Listener, c *certifier.Certifier) net.Listener {
	return &budgeter.Listener{
		Listener: listener, Budget: &e.clients, HTTP2: true, Encrypted: c.Files.Configured(), Busy: busyResponse(),
		HeadBytes: func() int { return maxPeerHeadBytes },
		TooLarge:  encodeResponse(http.StatusRequestHeaderFieldsTooLarge, dotterelpulley.Refuse(dotterelpulley.ErrorTooLarge, 0, "head over the limit")),
	}
}

// busyResponse returns the response to a request for which there is no room.
func busyResponse() []byte {
	refusal := dotterelpulley.Refuse(dotterelpulley.ErrorShed, busyRetryAfter, "the host holds too much for other clients")
	return encodeResponse(refusal.Kind.Answer().Status, refusal)
}

// encodeResponse returns a complete response that refuses a request which hasn't been read.
func encodeResponse(status int, r *dotterelpulley.Refusal) []byte {
	// The wire type holds strings only.
	body, _ := json.Marshal(refusalToWire(r))
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{"Content-Type": {"application/json"}},
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	if r.RetryAfter > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	var out bytes.Buffer
	// A buffer takes all that is written.
	_ = response.Write(&out)
	return out.Bytes()
}
