package budgeter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// client is a connection that ends as soon as it is evicted, unless it lingers.
type client struct {
	*Account
	evicted bool
}

func open(c *qt.C, b *Budget) *client {
	held := &client{}
	account, err := b.Open(func() { held.evicted = true })
	c.Assert(err, qt.IsNil)
	held.Account = account
	return held
}

// receive puts the client into the middle of a request of the size.
func (h *client) receive(c *qt.C, bytes Bytes) {
	h.enter(receiving)
	c.Assert(h.Reserve(bytes), qt.IsNil)
}

// A client that has held much for long is closed for an ordinary one, not one that is as small and new.
func TestTheConnectionThatCostsMostIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		evictions := 0
		b := &Budget{OnEvict: func() { evictions++ }}
		b.SetLimits(Limits{Bytes: 4 << 20, Connections: 5})
		waiting, lingering, large, served := open(c, b), open(c, b), open(c, b), open(c, b)
		waiting.enter(idle)
		large.receive(c, 1<<20)
		served.receive(c, 1<<20)
		served.Serve()
		time.Sleep(time.Second)
		small := open(c, b)
		small.receive(c, 4<<10)
		time.Sleep(time.Millisecond)
		for _, want := range []*client{large, lingering, waiting} {
			c.Assert(want.evicted, qt.IsFalse)
			open(c, b).Serve()
			c.Assert(want.evicted, qt.IsTrue)
		}
		c.Assert(small.evicted, qt.IsFalse)
		c.Assert(served.evicted, qt.IsFalse)
		c.Assert(evictions, qt.Equals, 3)
		c.Assert(b.Usage().Connections, qt.Equals, 5)
	})
}

// A request that is being served isn't closed for another one, which is refused instead.
func TestRequestsUnderWayAreNotClosed(t *testing.T) {
	c := qt.New(t)
	refusals := 0
	b := &Budget{OnRefuse: func() { refusals++ }}
	b.SetLimits(Limits{Connections: 2})
	for range 2 {
		open(c, b).Serve()
	}
	_, err := b.Open(func() {})
	c.Assert(err, qt.Equals, ErrFull)
	c.Assert(refusals, qt.Equals, 1)
}

// Memory is charged before the evicted connection's is given back only if both fit.
func TestAChargeWaitsUntilTheEvictedConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &Budget{}
		b.SetLimits(Limits{Bytes: 4 << 20})
		large, next := open(c, b), open(c, b)
		large.receive(c, 2<<20)
		time.Sleep(time.Second)
		var reserving conc.WaitGroup
		done := false
		reserving.Go(func() {
			next.enter(receiving)
			c.Check(next.Reserve(2<<20), qt.IsNil)
			done = true
		})
		synctest.Wait()
		c.Assert(large.evicted, qt.IsTrue)
		c.Assert(done, qt.IsFalse)
		c.Assert(large.Reserve(1), qt.Equals, ErrEvicted)
		large.Close()
		reserving.Wait()
		c.Assert(b.Usage().Bytes, qt.Equals, 2<<20+connectionBytes)
	})
}

// A connection whose server doesn't close it in time leaves the next one without room.
func TestAChargeWithoutRoomFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := &Budget{}
		b.SetLimits(Limits{Bytes: 4 << 20})
		large, next := open(c, b), open(c, b)
		large.receive(c, 2<<20)
		time.Sleep(time.Second)
		c.Assert(next.Reserve(2<<20), qt.Equals, ErrFull)
	})
}

// Large requests leave room for small ones, even if none of them can be closed.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	c := qt.New(t)
	b := &Budget{}
	b.SetLimits(Limits{Bytes: 4 << 20})
	for {
		large := open(c, b)
		large.Serve()
		if err := large.Reserve(256 << 10); err != nil {
			c.Assert(err, qt.Equals, ErrFull)
			large.Close()
			break
		}
	}
	for range 10 {
		small := open(c, b)
		small.Serve()
		c.Assert(small.Reserve(16<<10), qt.IsNil)
	}
}

// Whatever clients do, the budget counts what open accounts hold and never allows more than its limits.
func TestTheBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 1 << 20, Connections: 8}
		b := &Budget{}
		b.SetLimits(limits)
		var clients []*client
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := &client{}
			if n := len(clients); n > 0 {
				h = clients[rapid.IntRange(0, n-1).Draw(t, "client")]
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				opened := &client{}
				if a, err := b.Open(func() { opened.evicted = true }); err == nil {
					opened.Account = a
					clients = append(clients, opened)
				}
			case 1:
				if h.Account != nil && !h.evicted {
					h.enter(receiving)
				}
			case 2:
				if wait, _ := b.tryReserve(h.Account, Bytes(rapid.IntRange(1, 300<<10).Draw(t, "bytes"))); wait {
					for _, c := range clients {
						if c.evicted {
							c.Close()
						}
					}
				}
			case 3:
				h.Serve()
			case 4:
				if h.Account != nil {
					h.Close()
					h.Close()
				}
			}
			held, connections := Bytes(0), 0
			for a := range b.accounts {
				held += a.held
				if !a.evicted {
					connections++
				}
			}
			u := b.Usage()
			if u.Bytes != held || u.Connections != connections {
				t.Fatalf("%+v for %d bytes of %d connections", u, held, connections)
			}
			// A connection is accepted before an evicted one has given its own part back.
			if u.Bytes > limits.Bytes+Bytes(limits.Connections)*connectionBytes || u.Connections > limits.Connections {
				t.Fatalf("%+v is over the limits", u)
			}
		}
		for _, c := range clients {
			c.Close()
		}
		if u := b.Usage(); u.Bytes != 0 || u.Connections != 0 || b.leaving != 0 {
			t.Fatalf("%+v after all have left", u)
		}
	})
}

// tryReserve charges the account if it is open, and reports whether the charge has to wait.
func (b *Budget) tryReserve(a *Account, bytes Bytes) (waits bool, err error) {
	if a == nil {
		return false, nil
	}
	wait, err := b.reserve(a, bytes)
	return wait != nil, err
}

// A request that is being served gets what it still needs, while there is no room for new ones.
func TestRequestsUnderWayHaveRoomToEnd(t *testing.T) {
	c := qt.New(t)
	b := &Budget{}
	b.SetLimits(Limits{Bytes: 4 << 20})
	var served []*Account
	for {
		a, err := b.Open(func() {})
		if err != nil {
			c.Assert(err, qt.Equals, ErrFull)
			break
		}
		a.Serve()
		served = append(served, a)
	}
	for _, a := range served[:40] {
		c.Assert(a.Reserve(8<<10), qt.IsNil)
	}
}

// Requests of a connection of HTTP/2 may end after it: what they give back then has been given back with the connection.
func TestAClosedConnectionGivesNothingBackTwice(t *testing.T) {
	c := qt.New(t)
	b := &Budget{}
	other, closed := open(c, b), open(c, b)
	other.receive(c, 4<<10)
	closed.receive(c, 4<<10)
	before := b.Usage().Bytes
	closed.Close()
	closed.Release(4 << 10)
	c.Assert(b.Usage().Bytes, qt.Equals, before-connectionBytes-4<<10)
	c.Assert(closed.Reserve(4<<10), qt.Equals, ErrEvicted)
	c.Assert(b.Usage().Bytes, qt.Equals, before-connectionBytes-4<<10)
}
