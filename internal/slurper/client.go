package slurper

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

// DefaultLimit is the limit of answers that the zero value of Client allows.
const DefaultLimit Bytes = 64 << 20

// Client is an HTTP client without TLS that reads whole answers up to a limit; the zero value is ready to use.
type Client struct {
	// Limit is the largest answer; DefaultLimit if zero.
	Limit Bytes

	once sync.Once
	http fasthttp.Client
}

// DoTimeout sends the request and reads its answer; it fails with fasthttp.ErrBodyTooLarge once the answer exceeds the
// limit, and with verifier.ErrMalformed if its head doesn't follow the protocol.
func (c *Client) DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	c.once.Do(func() {
		c.http.Dial = dial
		c.http.MaxResponseBodySize = int(DefaultLimit)
		if c.Limit > 0 {
			c.http.MaxResponseBodySize = int(c.Limit)
		}
	})
	return c.http.DoTimeout(req, resp, timeout)
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return &verifier.Conn{Conn: conn}, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}
