package certifier

import (
	"net"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

// HTTPClient returns an HTTP/2 client for calls to peers, which presents the certificate if files are given.
//
// The client sends a PING frame when it has received nothing on a connection for pingTimeout, and closes the connection if no
// answer arrives within another pingTimeout.
func (c *Certifier) HTTPClient(pingTimeout time.Duration) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	return &http.Client{Transport: verifier.Transport{RoundTripper: &http.Transport{
		Protocols:      &protocols,
		DialContext:    dialer.DialContext,
		DialTLSContext: c.Dial,
		HTTP2:          &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}}}
}

// Scheme returns the URL scheme of the client's calls.
func (c *Certifier) Scheme() string {
	if c.Files.Configured() {
		return "https"
	}
	return "http"
}
