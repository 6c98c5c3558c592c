package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/dotterelpulley/dotterelpulley/certifier"
)

// lifetime is the validity period of every certificate.
const lifetime = time.Hour

const fileMode = 0o600

// Issuer issues certificates signed by its own certificate authority.
type Issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New returns an issuer with a new certificate authority.
func New() (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Issuer{certificate: certificate, key: key, serial: 1}, nil
}

// Pool returns a pool that contains the authority's certificate.
func (i *Issuer) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(i.certificate)
	return pool
}

// Write issues a certificate for the IP address and writes it, its key and the authority's certificate into the directory.
func (i *Issuer) Write(directory string, ip netip.Addr) (certifier.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certifier.Files{}, fmt.Errorf("generate key for %s: %w", ip, err)
	}
	i.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(i.serial),
		NotAfter:     time.Now().Add(lifetime),
		IPAddresses:  []net.IP{ip.AsSlice()},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &key.PublicKey, i.key)
	if err != nil {
		return certifier.Files{}, fmt.Errorf("sign certificate for %s: %w", ip, err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return certifier.Files{}, fmt.Errorf("encode key for %s: %w", ip, err)
	}
	files := certifier.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	blocks := []struct {
		path  string
		block pem.Block
	}{
		{files.Certificate, pem.Block{Type: "CERTIFICATE", Bytes: certificateDER}},
		{files.Key, pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}},
		{files.Authority, pem.Block{Type: "CERTIFICATE", Bytes: i.certificate.Raw}},
	}
	for _, b := range blocks {
		if err := os.WriteFile(b.path, pem.EncodeToMemory(&b.block), fileMode); err != nil {
			return certifier.Files{}, fmt.Errorf("write %q: %w", b.path, err)
		}
	}
	return files, nil
}
