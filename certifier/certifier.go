package certifier

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Certifier provides TLS configurations from certificate files; call Load before use.
type Certifier struct {
	Files Files
	// Protocols lists the ALPN protocols, such as "h2"; ALPN is not used if it is empty.
	Protocols []string
	// DialTimeout bounds connecting and the handshake in Dial; there is no bound if it is zero.
	DialTimeout time.Duration

	current atomic.Pointer[credentials]
}

// Load reads the files; if any of them fails to load, the previous credentials stay in use.
func (c *Certifier) Load() error {
	creds, err := c.Files.load()
	if err != nil {
		return err
	}
	c.current.Store(creds)
	return nil
}

// ServerConfig returns a configuration for a listener; each handshake uses the credentials loaded at that time.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.handshakeConfig()
		},
	}
}

func (c *Certifier) handshakeConfig() (*tls.Config, error) {
	creds := c.current.Load()
	if creds == nil {
		return nil, errors.New("no certificate is loaded")
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.certificate},
		NextProtos:   c.Protocols,
	}
	if creds.authority != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = creds.authority
	}
	return config, nil
}

// Dial connects to an address; the server's certificate must be issued by the authority and valid for the address.
func (c *Certifier) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	creds := c.current.Load()
	if creds == nil || creds.authority == nil {
		return nil, errors.New("no authority is loaded")
	}
	dialer := tls.Dialer{
		NetDialer: &net.Dialer{Timeout: c.DialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{creds.certificate},
			RootCAs:      creds.authority,
			NextProtos:   c.Protocols,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %q: %w", address, err)
	}
	return conn, nil
}
