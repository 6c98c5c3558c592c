package proxy_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
)

const testTimeout = 10 * time.Second

// echo starts a server that echoes every byte and sends it to the returned channel.
func echo(c *qt.C) (dotterelpulley.Address, chan byte) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	received := make(chan byte, 100)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { echoBytes(conn, received) })
		}
	})
	c.Cleanup(func() {
		c.Check(ln.Close(), qt.IsNil)
		tasks.Wait()
	})
	return dotterelpulley.Address(ln.Addr().String()), received
}

func echoBytes(conn net.Conn, received chan<- byte) {
	defer func() { _ = conn.Close() }()
	var b [1]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
		received <- b[0]
		if _, err := conn.Write(b[:]); err != nil {
			return
		}
	}
}

// start returns a proxy to an echo server.
func start(c *qt.C) (*proxy.Proxy, chan byte) {
	target, received := echo(c)
	p := &proxy.Proxy{Target: target}
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
	return p, received
}

func dial(c *qt.C, p *proxy.Proxy) net.Conn {
	conn, err := net.Dial("tcp", string(p.Address()))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a byte and checks that it is echoed.
func exchange(conn net.Conn, b byte) error {
	if _, err := conn.Write([]byte{b}); err != nil {
		return err
	}
	var reply [1]byte
	if _, err := io.ReadFull(conn, reply[:]); err != nil {
		return err
	}
	if reply[0] != b {
		return fmt.Errorf("sent %q and got %q", b, reply[0])
	}
	return nil
}

func TestProxyForwardsBothDirectionsWithDelay(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	p.Delay(time.Millisecond)
	conn := dial(c, p)
	c.Assert(exchange(conn, 'a'), qt.IsNil)
	c.Assert(exchange(conn, 'b'), qt.IsNil)
	c.Assert(p.Accepted(), qt.Equals, 1)
}

func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	c := qt.New(t)
	p, received := start(c)
	old := dial(c, p)
	c.Assert(exchange(old, 'a'), qt.IsNil)
	c.Assert(<-received, qt.Equals, byte('a'))
	c.Assert(p.SilenceConnections(), qt.Equals, 1)
	c.Assert(old.SetDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	err := exchange(old, 'b')
	var timeout net.Error
	c.Assert(err, qt.ErrorAs, &timeout)
	c.Assert(timeout.Timeout(), qt.IsTrue)
	c.Assert(exchange(dial(c, p), 'c'), qt.IsNil)
	c.Assert(<-received, qt.Equals, byte('c'))
}

func TestCloseConnectionsAffectsOpenOnesOnly(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	old := dial(c, p)
	c.Assert(exchange(old, 'a'), qt.IsNil)
	c.Assert(p.CloseConnections(), qt.Equals, 1)
	c.Assert(exchange(old, 'b'), qt.IsNotNil)
	c.Assert(exchange(dial(c, p), 'c'), qt.IsNil)
}

func TestLostAnswerFollowsTheEffect(t *testing.T) {
	c := qt.New(t)
	p, received := start(c)
	p.LoseAnswers(1)
	c.Assert(exchange(dial(c, p), 'a'), qt.IsNotNil)
	c.Assert(<-received, qt.Equals, byte('a'))
	c.Assert(p.LostAnswers(), qt.Equals, 1)
	c.Assert(exchange(dial(c, p), 'b'), qt.IsNil)
}

func TestRefuseAndAcceptAgain(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	old := dial(c, p)
	c.Assert(exchange(old, 'a'), qt.IsNil)
	p.Refuse()
	c.Assert(exchange(old, 'b'), qt.IsNotNil)
	_, err := net.Dial("tcp", string(p.Address()))
	c.Assert(err, qt.IsNotNil)
	c.Assert(p.Accept(), qt.IsNil)
	c.Assert(exchange(dial(c, p), 'c'), qt.IsNil)
}

// refuser starts a server that refuses the first request on each connection and answers the others.
func refuser(c *qt.C) dotterelpulley.Address {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request := make([]byte, 1)
		for _, answer := range []string{refusal, whole} {
			if _, err := conn.Read(request); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
		_, _ = conn.Read(request)
	})
	c.Cleanup(func() {
		c.Check(ln.Close(), qt.IsNil)
		tasks.Wait()
	})
	return dotterelpulley.Address(ln.Addr().String())
}

const (
	refusal = "HTTP/1.1 503 Refused\r\nSome-Attempt-Id: 1\r\nSome-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	unnamed = "HTTP/1.1 503 Refused\r\nSome-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	whole   = "HTTP/1.1 200 OK\r\nSome-Attempt-Id: 2\r\nContent-Length: 0\r\n\r\n"
)

func TestStrayAnswersComeBeforeTheNextOne(t *testing.T) {
	for kind, want := range map[proxy.Stray]string{
		proxy.NoStray: whole, proxy.StrayRefusals: refusal + whole, proxy.UnnamedRefusals: unnamed + whole, proxy.StrayAnswers: refusal + whole,
	} {
		c := qt.New(t)
		p := &proxy.Proxy{Target: refuser(c)}
		c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
		c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
		p.WriteStrays(kind)
		conn, err := net.Dial("tcp", string(p.Address()))
		c.Assert(err, qt.IsNil)
		for _, want := range []string{refusal, want} {
			_, err := conn.Write([]byte("x"))
			c.Assert(err, qt.IsNil)
			got := make([]byte, len(want))
			_, err = io.ReadFull(conn, got)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, want)
		}
		c.Assert(conn.Close(), qt.IsNil)
	}
}

// What was sent before its sender left arrives once it is no longer held up.
func TestHeldBytesArriveAfterTheirSenderHasLeft(t *testing.T) {
	c := qt.New(t)
	p, received := start(c)
	conn := dial(c, p)
	c.Assert(exchange(conn, 1), qt.IsNil)
	c.Assert(<-received, qt.Equals, byte(1))
	p.Hold()
	_, err := conn.Write([]byte{2})
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	select {
	case b := <-received:
		c.Fatalf("byte %d arrived while it was held up", b)
	default:
	}
	p.Release()
	c.Assert(<-received, qt.Equals, byte(2))
	c.Assert(conn.Close(), qt.IsNil)
}
