package entry

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/certifier"
)

// certificates holds the certificates presented to callers and to other entry hosts.
type certificates struct {
	callers certifier.Certifier
	peers   certifier.Certifier
}

func (e *Entry) loadCertificates() error {
	for _, c := range []*certifier.Certifier{&e.certificates.callers, &e.certificates.peers} {
		if !c.Files.Configured() {
			continue
		}
		if err := c.Load(); err != nil {
			return err
		}
	}
	return nil
}

// reloadCertificates loads certificate files that were replaced; if they can't be loaded, the old certificates stay.
func (e *Entry) reloadCertificates() {
	if err := e.loadCertificates(); err != nil {
		e.counters.Inc("certificate-failed")
		e.log.Error().Str("event", "certificate-failed").Err(err).Msg("")
	}
}

// secure wraps the listener in TLS if a certificate is configured.
func secure(listener net.Listener, c *certifier.Certifier) net.Listener {
	if !c.Files.Configured() {
		return listener
	}
	return tls.NewListener(listener, c.ServerConfig())
}

func (e *Entry) peerURL(address dotterelpulley.Address) string {
	return e.certificates.peers.Scheme() + "://" + string(address)
}

// peerListenerProtocols returns HTTP/2, which entry hosts and movers use, and HTTP/1.1.
func peerListenerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	protocols.SetHTTP1(true)
	return &protocols
}

// peerPings returns the HTTP/2 ping settings that close unresponsive peer connections.
func peerPings() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: peerPingInterval,
		PingTimeout:     peerPingTimeout,
	}
}
