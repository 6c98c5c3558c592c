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
	home      = netip.MustParseAddr("127.0.0.1")
	elsewhere = netip.MustParseAddr("127.0.0.9")
)

func newIssuer(c *qt.C) *issuer.Issuer {
	i, err := issuer.New()
	c.Assert(err, qt.IsNil)
	return i
}

func write(c *qt.C, i *issuer.Issuer, folder string, ip netip.Addr) certifier.Files {
	files, err := i.Write(folder, ip)
	c.Assert(err, qt.IsNil)
	return files
}

func loaded(c *qt.C, files certifier.Files) *certifier.Certifier {
	held := &certifier.Certifier{Files: files}
	c.Assert(held.Load(), qt.IsNil)
	return held
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

func TestPeersOfOneAuthorityMeet(t *testing.T) {
	c := qt.New(t)
	i := newIssuer(c)
	server := loaded(c, write(c, i, c.TempDir(), home))
	client := loaded(c, write(c, i, c.TempDir(), home))
	_, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)
}

func TestStrangersAreRefused(t *testing.T) {
	c := qt.New(t)
	i, other := newIssuer(c), newIssuer(c)
	ours := write(c, i, c.TempDir(), home)
	server := loaded(c, ours)

	foreign := write(c, other, c.TempDir(), home)
	_, err := shake(c, server, loaded(c, foreign))
	c.Check(err, qt.ErrorMatches, ".*certificate signed by unknown authority.*")

	// The stranger trusts the server, but the server does not trust the stranger.
	foreign.Authority = ours.Authority
	_, err = shake(c, server, loaded(c, foreign))
	c.Check(err, qt.IsNotNil)

	misplaced := loaded(c, write(c, i, c.TempDir(), elsewhere))
	_, err = shake(c, misplaced, server)
	c.Check(err, qt.ErrorMatches, ".*valid for 127.0.0.9, not 127.0.0.1.*")
}

func TestReplacedFilesAreTakenAndTornOnesAreNot(t *testing.T) {
	c := qt.New(t)
	i := newIssuer(c)
	folder := c.TempDir()
	server := loaded(c, write(c, i, folder, home))
	client := loaded(c, write(c, i, c.TempDir(), home))
	before, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)

	files := write(c, i, folder, home)
	c.Assert(server.Load(), qt.IsNil)
	after, err := shake(c, server, client)
	c.Assert(err, qt.IsNil)
	c.Check(after > before, qt.IsTrue, qt.Commentf("serial %d after %d", after, before))

	c.Assert(os.WriteFile(files.Key, []byte("half a key"), 0o600), qt.IsNil)
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
