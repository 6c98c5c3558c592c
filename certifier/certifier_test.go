package certifier_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/certifier"
)

// authority issues certificates for tests.
type authority struct {
	c    *qt.C
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
	next int64
}

func newAuthority(c *qt.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return &authority{c: c, cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), next: 2}
}

// write issues a certificate for the IP address into the folder.
func (a *authority) write(folder, ip string) certifier.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.next),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.ParseIP(ip)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	a.next++
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	encoded, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	files := certifier.Files{
		Certificate: filepath.Join(folder, "cert.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	a.save(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	a.save(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}))
	a.save(files.Authority, a.pem)
	return files
}

func (a *authority) save(path string, data []byte) {
	a.c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
}

// shake makes one handshake over loopback and returns the server certificate's serial number.
func shake(c *qt.C, server, client *certifier.Certifier) (serial int64, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	var wait conc.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		secure := tls.Server(conn, server.Server())
		if secure.Handshake() == nil {
			_, _ = secure.Write([]byte{1})
		}
	})
	conn, err := client.Dial(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func loaded(c *qt.C, files certifier.Files) *certifier.Certifier {
	held := &certifier.Certifier{Files: files}
	c.Assert(held.Load(), qt.IsNil)
	return held
}

func TestPeersOfOneAuthorityMeet(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	server := loaded(c, a.write(c.TempDir(), "127.0.0.1"))
	client := loaded(c, a.write(c.TempDir(), "127.0.0.1"))
	_, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)
}

func TestStrangersAreRefused(t *testing.T) {
	c := qt.New(t)
	a, other := newAuthority(c), newAuthority(c)
	server := loaded(c, a.write(c.TempDir(), "127.0.0.1"))

	foreign := other.write(c.TempDir(), "127.0.0.1")
	_, err := shake(c, server, loaded(c, foreign))
	c.Check(err, qt.ErrorMatches, ".*certificate signed by unknown authority.*")

	// The stranger trusts the server, but the server does not trust the stranger.
	other.save(foreign.Authority, a.pem)
	_, err = shake(c, server, loaded(c, foreign))
	c.Check(err, qt.IsNotNil)

	elsewhere := loaded(c, a.write(c.TempDir(), "127.0.0.9"))
	_, err = shake(c, elsewhere, server)
	c.Check(err, qt.ErrorMatches, ".*valid for 127.0.0.9, not 127.0.0.1.*")
}

func TestReplacedFilesAreTakenAndTornOnesAreNot(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	folder := c.TempDir()
	server := loaded(c, a.write(folder, "127.0.0.1"))
	client := loaded(c, a.write(c.TempDir(), "127.0.0.1"))
	before, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)

	files := a.write(folder, "127.0.0.1")
	c.Assert(server.Load(), qt.IsNil)
	after, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)
	c.Check(after > before, qt.IsTrue, qt.Commentf("serial %d after %d", after, before))

	a.save(files.Key, []byte("half a key"))
	c.Check(server.Load(), qt.ErrorMatches, "load certificate .*")
	kept, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)
	c.Check(kept, qt.Equals, after)
}

func TestFilesStandTogether(t *testing.T) {
	qt.Check(t, certifier.Files{}.Check(), qt.IsNil)
	qt.Check(t, certifier.Files{Certificate: "a"}.Check(), qt.ErrorMatches, "certificate and key must be given together")
	qt.Check(t, certifier.Files{Authority: "a"}.Check(), qt.ErrorMatches, "certificate and key must be given together")
}
