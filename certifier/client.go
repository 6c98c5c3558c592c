package certifier

import (
	"net"
	"net/http"
	"time"
)

// HTTPClient returns an HTTP/2 client for calls to peers, which presents the certificate if files are given. After a read idle time of ping it sends a PING frame, and it closes the connection if there is no answer within ping.
func (c *Certifier) HTTPClient(ping time.Duration) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:      &protocols,
		DialContext:    dialer.DialContext,
		DialTLSContext: c.Dial,
		HTTP2:          &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: ping},
	}}
}

// Scheme returns the URL scheme of the client's calls.
func (c *Certifier) Scheme() string {
	if c.Files.Configured() {
		return "https"
	}
	return "http"
}
