package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

const (
	// clientSocketFraction is the fraction of a host's sockets for clients; the others are for endpoints, hosts and the store.
	clientSocketFraction = 0.75
	// headSlack, in bytes, is for the request line and what is read ahead, which don't count towards the operators' limit of a head.
	headSlack = 8 << 10
	// hostHeadSlack, in bytes, is for what hosts add to the head of a request that they forward.
	hostHeadSlack = 16 << 10
)

// clientLimits returns the limits of what clients may make a host with the settings hold.
func clientLimits(s platform.Settings) budgeter.Limits {
	sockets := max(s.Descriptors-platform.ReservedDescriptors, 0)
	return budgeter.LimitsOf(budgeter.Bytes(s.Memory), int(clientSocketFraction*float64(sockets)))
}

// listenForClients listens on the address within the budget of all clients.
func (g *Gateway) listenForClients(address dotterelpulley.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, err
	}
	slack := headSlack
	if address != g.settings.CallerAddress {
		slack += hostHeadSlack
	}
	return &budgeter.Listener{
		Listener: listener, Budget: &g.clients, HeadBytes: func() int { return g.headLimit(slack) },
		TooLarge: encodeRefusal(http.StatusRequestHeaderFieldsTooLarge, dotterelpulley.ErrorTooLarge, 0),
		Busy:     encodeRefusal(http.StatusServiceUnavailable, dotterelpulley.ErrorShed, minRetryAfter),
	}, nil
}

// headLimit returns the size limit of a request's head, with the slack.
func (g *Gateway) headLimit(slack int) int {
	if t := g.table.Load(); t != nil && t.HeadBytes > 0 {
		return t.HeadBytes + slack
	}
	return maxHeaderBytes + slack
}

// encodeRefusal returns a response that refuses a request whose head hasn't been read.
func encodeRefusal(status int, kind dotterelpulley.ErrorKind, retryAfter time.Duration) []byte {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	platform.SetRefusalHeaders(header, "", retryAfter)
	return budgeter.EncodeResponse(status, header, []byte(kind.String()+"\n"))
}
