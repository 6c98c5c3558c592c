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

// Certifier serves the certificates of its files; Load it before use.
type Certifier struct {
	Files Files
	// Protocols are the protocols that both sides may agree on, such as "h2"; none if empty.
	Protocols []string
	// DialTimeout bounds the connection and handshake of Dial; none if zero.
	DialTimeout time.Duration

	held atomic.Pointer[material]
}

// Load reads the files; what was held before stays when they can't be read whole.
func (c *Certifier) Load() error {
	m, err := c.Files.load()
	if err != nil {
		return err
	}
	c.held.Store(m)
	return nil
}

// Server returns a configuration for a listener; each handshake takes what is held then.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.handshake()
		},
	}
}

func (c *Certifier) handshake() (*tls.Config, error) {
	m := c.held.Load()
	if m == nil {
		return nil, errors.New("no certificate is loaded")
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		NextProtos:   c.Protocols,
	}
	if m.authority != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authority
	}
	return config, nil
}

// Dial connects to an address whose certificate must come from the authority and name the address.
func (c *Certifier) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	m := c.held.Load()
	if m == nil || m.authority == nil {
		return nil, errors.New("no authority is loaded")
	}
	dialer := tls.Dialer{
		NetDialer: &net.Dialer{Timeout: c.DialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.certificate},
			RootCAs:      m.authority,
			NextProtos:   c.Protocols,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %q: %w", address, err)
	}
	return conn, nil
}
