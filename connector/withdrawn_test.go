package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// GONE: a request whose context was done by the time there was a connection was sent on it, and reset at about the same time.
func TestARequestThatNobodyNeedsIsSent(t *testing.T) {
	errLeft := errors.New("left")
	for name, withdraw := range map[string]func(leave context.CancelFunc) error{
		"context done":       func(leave context.CancelFunc) error { leave(); return nil },
		"before-send denies": func(context.CancelFunc) error { return errLeft },
	} {
		for _, idle := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				var requests, connections atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
				defer server.Close()
				address := dotterelpulley.Address(server.Listener.Addr().String())
				p := Connector{OnOpen: func() { connections.Add(1) }}
				defer p.Close()
				send := func(ctx context.Context, id string, beforeSend func() error) (*Exchange, error) {
					return p.Do(ctx, address, Request{Method: http.MethodGet, Target: "/", Host: "h", ID: id, Header: http.Header{}, BeforeSend: beforeSend})
				}
				sent := int64(0)
				if idle {
					x, err := send(context.Background(), "first", nil)
					c.Assert(err, qt.IsNil)
					x.Release()
					sent++
				}
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				var denied error
				if idle {
					denied = withdraw(leave)
				} else {
					p.Dial = func(context.Context, string, string) (net.Conn, error) {
						conn, err := net.Dial("tcp", string(address))
						denied = withdraw(leave)
						return conn, err
					}
				}
				_, err := send(ctx, "second", func() error { return denied })
				var failure *ExchangeError
				c.Assert(errors.As(err, &failure), qt.IsTrue)
				c.Assert(failure.Withdrawn, qt.IsTrue)
				c.Assert(failure.MaybeSent, qt.IsFalse)
				x, err := send(context.Background(), "third", nil)
				c.Assert(err, qt.IsNil)
				x.Release()
				c.Assert(requests.Load(), qt.Equals, sent+1)
				c.Assert(connections.Load(), qt.Equals, int64(1), qt.Commentf("the connection is kept"))
			})
		}
	}
}
