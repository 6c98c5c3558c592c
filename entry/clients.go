package entry

import (
	"encoding/json"
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
	// busyRetryAfter is the delay for callers whose request finds no room.
	busyRetryAfter = time.Second
	// maxPeerHeadBytes limits the head of a request of another host, in bytes.
	maxPeerHeadBytes = 64 << 10
)

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
	header := http.Header{"Content-Type": {"application/json"}}
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	// The wire type holds strings only.
	body, _ := json.Marshal(refusalToWire(r))
	return budgeter.EncodeResponse(status, header, body)
}
