package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files names a certificate, its key and the certificate authority that must have issued the peer's certificate.
type Files struct {
	// Certificate and Key are PEM files.
	Certificate string
	Key         string
	// Authority is a PEM file of CA certificates; if it is empty, clients need no certificate and Dial fails.
	Authority string
}

// Configured reports whether any file name is set.
func (f Files) Configured() bool {
	return f != Files{}
}

// Check returns an error if files are named but the certificate or the key is missing.
func (f Files) Check() error {
	if !f.Configured() {
		return nil
	}
	if f.Certificate == "" || f.Key == "" {
		return errors.New("certificate and key must be given together")
	}
	return nil
}

// credentials is the content of the files when they were last loaded without an error.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func (f Files) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", f.Certificate, f.Key, err)
	}
	creds := &credentials{certificate: certificate}
	if f.Authority == "" {
		return creds, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	creds.authority = x509.NewCertPool()
	if !creds.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority %q holds no certificate", f.Authority)
	}
	return creds, nil
}
