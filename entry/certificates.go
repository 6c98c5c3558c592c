package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
)

// certificates are those shown to callers and to other entry hosts.
type certificates struct {
	callers certifier.Certifier
	peers   certifier.Certifier
}

func (e *Entry) loadCertificates() error {
	for _, c := range []*certifier.Certifier{&e.certificates.callers, &e.certificates.peers} {
		if !c.Files.Given() {
			continue
		}
		if err := c.Load(); err != nil {
			return err
		}
	}
	return nil
}

// reloadCertificates takes files that were replaced; ones that can't be read leave the old in place.
func (e *Entry) reloadCertificates() {
	if err := e.loadCertificates(); err != nil {
		e.counters.Inc("certificate-failed")
		e.log.Error().Str("event", "certificate-failed").Err(err).Msg("")
	}
}

// secure wraps the listener when a certificate is given.
func secure(listener net.Listener, c *certifier.Certifier) net.Listener {
	if !c.Files.Given() {
		return listener
	}
	return tls.NewListener(listener, c.Server())
}

// peerScheme returns the scheme of calls between entry hosts.
func (e *Entry) peerScheme() string {
	if e.certificates.peers.Files.Given() {
		return "https"
	}
	return "http"
}

func (e *Entry) peerURL(address dotterelpulley.Address) string {
	return e.peerScheme() + "://" + string(address)
}

// newPeerHTTP returns a client for calls between entry hosts over HTTP/2.
func newPeerHTTP(dial time.Duration, c *certifier.Certifier) *http.Client {
	dialer := &net.Dialer{Timeout: dial}
	c.DialTimeout = dial
	return &http.Client{Transport: &http.Transport{
		Protocols:   peerProtocols(),
		DialContext: dialer.DialContext,
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.Dial(ctx, network, address)
		},
		HTTP2: peerPings(),
	}}
}

// peerProtocols are spoken between entry hosts.
func peerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &protocols
}

// peerListenerProtocols add what movers speak.
func peerListenerProtocols() *http.Protocols {
	protocols := peerProtocols()
	protocols.SetHTTP1(true)
	return protocols
}

// peerPings makes a silent peer connection end.
func peerPings() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: peerPingAfter,
		PingTimeout:     peerPingTimeout,
	}
}
