package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Files names a certificate, its key and the authority that the other side's certificate must come from.
type Files struct {
	// Certificate and Key are PEM files.
	Certificate string
	Key         string
	// Authority is a PEM file of certificates; no certificate is asked of the other side if it is empty.
	Authority string
}

// Given reports whether any file is named.
func (f Files) Given() bool {
	return f != Files{}
}

// Check returns an error when a certificate or a key stands alone.
func (f Files) Check() error {
	if !f.Given() {
		return nil
	}
	if f.Certificate == "" || f.Key == "" {
		return errors.New("certificate and key must be given together")
	}
	return nil
}

// material is what the files held when they were last whole.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

func (f Files) load() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %q with key %q: %w", f.Certificate, f.Key, err)
	}
	m := &material{certificate: certificate}
	if f.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("authority %q holds no certificate", f.Authority)
	}
	return m, nil
}
