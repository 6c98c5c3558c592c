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

const patience = 10 * time.Second

// echo answers every byte with itself, and counts them.
func echo(c *qt.C) (dotterelpulley.Address, chan byte) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	got := make(chan byte, 100)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { answer(conn, got) })
		}
	})
	c.Cleanup(func() {
		c.Check(ln.Close(), qt.IsNil)
		tasks.Wait()
	})
	return dotterelpulley.Address(ln.Addr().String()), got
}

func answer(conn net.Conn, got chan<- byte) {
	defer func() { _ = conn.Close() }()
	var b [1]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
		got <- b[0]
		if _, err := conn.Write(b[:]); err != nil {
			return
		}
	}
}

// start returns a proxy before an echo.
func start(c *qt.C) (*proxy.Proxy, chan byte) {
	target, got := echo(c)
	p := &proxy.Proxy{Target: target}
	c.Assert(p.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
	return p, got
}

func dial(c *qt.C, p *proxy.Proxy) net.Conn {
	conn, err := net.Dial("tcp", string(p.Address()))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a byte and reads one back.
func ask(conn net.Conn, b byte) error {
	if _, err := conn.Write([]byte{b}); err != nil {
		return err
	}
	var back [1]byte
	if _, err := io.ReadFull(conn, back[:]); err != nil {
		return err
	}
	if back[0] != b {
		return fmt.Errorf("sent %q and got %q", b, back[0])
	}
	return nil
}

func TestProxyPassesBothWaysLate(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	p.Delay(time.Millisecond)
	conn := dial(c, p)
	c.Assert(ask(conn, 'a'), qt.IsNil)
	c.Assert(ask(conn, 'b'), qt.IsNil)
	c.Assert(p.Accepted(), qt.Equals, 1)
}

func TestSilenceHoldsForOldConnectionsOnly(t *testing.T) {
	c := qt.New(t)
	p, got := start(c)
	old := dial(c, p)
	c.Assert(ask(old, 'a'), qt.IsNil)
	c.Assert(<-got, qt.Equals, byte('a'))
	c.Assert(p.Silence(), qt.Equals, 1)
	c.Assert(old.SetDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	err := ask(old, 'b')
	var timeout net.Error
	c.Assert(err, qt.ErrorAs, &timeout)
	c.Assert(timeout.Timeout(), qt.IsTrue)
	c.Assert(ask(dial(c, p), 'c'), qt.IsNil)
	c.Assert(<-got, qt.Equals, byte('c'))
}

func TestCutClosesOldConnectionsOnly(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	old := dial(c, p)
	c.Assert(ask(old, 'a'), qt.IsNil)
	c.Assert(p.Cut(), qt.Equals, 1)
	c.Assert(ask(old, 'b'), qt.IsNotNil)
	c.Assert(ask(dial(c, p), 'c'), qt.IsNil)
}

func TestAnswerIsLostAfterTheEffect(t *testing.T) {
	c := qt.New(t)
	p, got := start(c)
	p.LoseAnswers(1)
	c.Assert(ask(dial(c, p), 'a'), qt.IsNotNil)
	c.Assert(<-got, qt.Equals, byte('a'))
	c.Assert(p.LostAnswers(), qt.Equals, 1)
	c.Assert(ask(dial(c, p), 'b'), qt.IsNil)
}

func TestRefuseAndAcceptAgain(t *testing.T) {
	c := qt.New(t)
	p, _ := start(c)
	old := dial(c, p)
	c.Assert(ask(old, 'a'), qt.IsNil)
	p.Refuse()
	c.Assert(ask(old, 'b'), qt.IsNotNil)
	_, err := net.Dial("tcp", string(p.Address()))
	c.Assert(err, qt.IsNotNil)
	c.Assert(p.Accept(), qt.IsNil)
	c.Assert(ask(dial(c, p), 'c'), qt.IsNil)
}
