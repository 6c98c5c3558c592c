package certifier

import (
	"net"
	"net/http"
	"time"
)

// Client returns an HTTP/2 client for calls to peers, with this certificate if files are given; a peer that is silent for ping is asked for a sign, and given up after as long again.
func (c *Certifier) Client(ping time.Duration) *http.Client {
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

// Scheme returns the scheme of the client's calls.
func (c *Certifier) Scheme() string {
	if c.Files.Given() {
		return "https"
	}
	return "http"
}
