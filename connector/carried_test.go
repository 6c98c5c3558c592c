package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startNamingServer starts an endpoint that serves connections at once and answers with the id of each request.
func startNamingServer(c *qt.C) dotterelpulley.Address {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.TB.(*testing.T).Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if _, err := io.WriteString(conn, completeResponse(r.Header.Get("Id"), "whole")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return dotterelpulley.Address(l.Addr().String())
}

// begin sends a request with the id.
func begin(c *qt.C, p *Connector, address dotterelpulley.Address, id string) *Exchange {
	r := newRequest(id)
	r.Header.Set("Id", id)
	x, err := p.Do(context.Background(), address, r)
	c.Assert(err, qt.IsNil)
	return x
}

// finish reads the response and releases the connection.
func finish(c *qt.C, x *Exchange) {
	_, err := io.Copy(io.Discard, x.Body)
	c.Assert(err, qt.IsNil)
	x.Release()
}

// carry sends a request with the id and returns its connection.
func carry(c *qt.C, p *Connector, address dotterelpulley.Address, id string) Carrier {
	x := begin(c, p, address, id)
	finish(c, x)
	return x.Carrier
}

// An id that had come before proved nothing of the answers on a connection that had carried it.
func TestAConnectionCarriesAnIDOnce(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	c.Assert(carry(c, &p, address, "a"), qt.Equals, Carrier{Connection: 1})
	c.Assert(carry(c, &p, address, "b"), qt.Equals, Carrier{Connection: 1, Earlier: 1})
	c.Assert(carry(c, &p, address, "a"), qt.Equals, Carrier{Connection: 2, PassedOver: true})
	c.Assert(carry(c, &p, address, "b"), qt.Equals, Carrier{Connection: 2, Earlier: 1})
	c.Assert(carry(c, &p, address, "a"), qt.Equals, Carrier{Connection: 3, PassedOver: true})
	c.Assert(carry(c, &p, address, "c"), qt.Equals, Carrier{Connection: 3, Earlier: 1})
}

func TestARequestWithoutAnIDGetsANewConnection(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	c.Assert(p.Reaches(context.Background(), address), qt.IsTrue)
	c.Assert(carry(c, &p, address, "a"), qt.Equals, Carrier{Connection: 1})
	c.Assert(carry(c, &p, address, ""), qt.Equals, Carrier{Connection: 2, PassedOver: true})
	c.Assert(carry(c, &p, address, ""), qt.Equals, Carrier{Connection: 3, PassedOver: true})
	c.Assert(p.idle[address], qt.HasLen, 1)
}

// Each send of an id opened a connection and left it idle beside those before.
func TestSendsOfOneIDKeepOneConnection(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	for range 5 {
		carry(c, &p, address, "a")
		c.Assert(p.idle[address], qt.HasLen, 1)
	}
}

func TestTheConnectionThatIsTakenLeavesTheIdleOnes(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	first, second := begin(c, &p, address, "a"), begin(c, &p, address, "b")
	finish(c, first)
	finish(c, second)
	c.Assert(p.idle[address], qt.HasLen, 2)
	third := begin(c, &p, address, "b")
	c.Assert(third.Connection, qt.Equals, first.Connection)
	c.Assert(p.idle[address], qt.HasLen, 1)
	c.Assert(p.idle[address][0].number, qt.Equals, second.Connection)
	finish(c, third)
}

func TestAConnectionEndsOnceItCanRememberNoMoreIDs(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	for n := range maxCarried {
		c.Assert(carry(c, &p, address, strconv.Itoa(n)), qt.Equals, Carrier{Connection: 1, Earlier: n})
	}
	c.Assert(carry(c, &p, address, "next"), qt.Equals, Carrier{Connection: 2})
}

// A response without an id was believed on a connection that a probe had opened long before the request.
func TestAConnectionThatAProbeOpenedIsNotNew(t *testing.T) {
	c := qt.New(t)
	address := startNamingServer(c)
	var p Connector
	defer p.Close()
	c.Assert(p.Reaches(context.Background(), address), qt.IsTrue)
	var heads []ResponseHead
	for _, id := range []string{"a", ""} {
		r := newRequest(id)
		r.MatchesResponse = func(h ResponseHead) bool {
			heads = append(heads, h)
			return true
		}
		_, err := exchange(&p, address, r)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(heads[0].Reused, qt.IsTrue)
	c.Assert(heads[1].Reused, qt.IsFalse)
}

// A response without an id was believed after one to another request, on a connection that had carried nothing before.
func TestAResponseAfterAStrayIsNotTheFirst(t *testing.T) {
	c := qt.New(t)
	address, _ := startScriptedServer(c, completeResponse("other", "stray")+"HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n")
	var p Connector
	defer p.Close()
	r := newRequest("a")
	r.MatchesResponse = func(h ResponseHead) bool { return h.Header.Get("Id") == "" }
	x, err := p.Do(context.Background(), address, r)
	c.Assert(err, qt.IsNil)
	defer x.Abort()
	c.Assert(x.Reused, qt.IsTrue)
	c.Assert(x.Strays, qt.Equals, 1)
}
