package entry

import (
	"crypto/tls"
	"net"
	"net/http"

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

func (e *Entry) peerURL(address dotterelpulley.Address) string {
	return e.certificates.peers.Scheme() + "://" + string(address)
}

// peerListenerProtocols are HTTP/2 for entry hosts and movers, and HTTP/1.1.
func peerListenerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	protocols.SetHTTP1(true)
	return &protocols
}

// peerPings makes a silent peer connection end.
func peerPings() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: peerPingAfter,
		PingTimeout:     peerPingTimeout,
	}
}
