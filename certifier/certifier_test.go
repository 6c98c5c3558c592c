package certifier_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/issuer"
)

var (
	localIP = netip.MustParseAddr("127.0.0.1")
	otherIP = netip.MustParseAddr("127.0.0.9")
)

func newIssuer(c *qt.C) *issuer.Issuer {
	i, err := issuer.New()
	c.Assert(err, qt.IsNil)
	return i
}

func writeFiles(c *qt.C, i *issuer.Issuer, folder string, ip netip.Addr) certifier.Files {
	files, err := i.Write(folder, ip)
	c.Assert(err, qt.IsNil)
	return files
}

func loadCertifier(c *qt.C, files certifier.Files) *certifier.Certifier {
	loaded := &certifier.Certifier{Files: files}
	c.Assert(loaded.Load(), qt.IsNil)
	return loaded
}

// handshake makes one TLS handshake over loopback and returns the server certificate's serial number.
func handshake(c *qt.C, server, client *certifier.Certifier) (serial int64, err error) {
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
		secure := tls.Server(conn, server.ServerConfig())
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

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	c := qt.New(t)
	i := newIssuer(c)
	server := loadCertifier(c, writeFiles(c, i, c.TempDir(), localIP))
	client := loadCertifier(c, writeFiles(c, i, c.TempDir(), localIP))
	_, err := handshake(c, server, client)
	c.Assert(err, qt.IsNil)
}

func TestUntrustedCertificatesAreRejected(t *testing.T) {
	c := qt.New(t)
	i, other := newIssuer(c), newIssuer(c)
	trusted := writeFiles(c, i, c.TempDir(), localIP)
	server := loadCertifier(c, trusted)

	foreign := writeFiles(c, other, c.TempDir(), localIP)
	_, err := handshake(c, server, loadCertifier(c, foreign))
	c.Check(err, qt.ErrorMatches, ".*certificate signed by unknown authority.*")

	// This client trusts the server, but the server does not trust the client.
	foreign.Authority = trusted.Authority
	_, err = handshake(c, server, loadCertifier(c, foreign))
	c.Check(err, qt.IsNotNil)

	wrongAddress := loadCertifier(c, writeFiles(c, i, c.TempDir(), otherIP))
	_, err = handshake(c, wrongAddress, server)
	c.Check(err, qt.ErrorMatches, ".*valid for 127.0.0.9, not 127.0.0.1.*")
}

func TestReloadUsesReplacedFilesAndIgnoresDamagedOnes(t *testing.T) {
	c := qt.New(t)
	i := newIssuer(c)
	folder := c.TempDir()
	server := loadCertifier(c, writeFiles(c, i, folder, localIP))
	client := loadCertifier(c, writeFiles(c, i, c.TempDir(), localIP))
	before, err := handshake(c, server, client)
	c.Assert(err, qt.IsNil)

	files := writeFiles(c, i, folder, localIP)
	c.Assert(server.Load(), qt.IsNil)
	after, err := handshake(c, server, client)
	c.Assert(err, qt.IsNil)
	c.Check(after > before, qt.IsTrue, qt.Commentf("serial %d after %d", after, before))

	c.Assert(os.WriteFile(files.Key, []byte("half a key"), 0o600), qt.IsNil)
	c.Check(server.Load(), qt.ErrorMatches, "load certificate .*")
	afterFailedLoad, err := handshake(c, server, client)
	c.Assert(err, qt.IsNil)
	c.Check(afterFailedLoad, qt.Equals, after)
}

func TestCertificateAndKeyMustBeGivenTogether(t *testing.T) {
	qt.Check(t, certifier.Files{}.Check(), qt.IsNil)
	qt.Check(t, certifier.Files{Certificate: "a"}.Check(), qt.ErrorMatches, "certificate and key must be given together")
	qt.Check(t, certifier.Files{Authority: "a"}.Check(), qt.ErrorMatches, "certificate and key must be given together")
}
