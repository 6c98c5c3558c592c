package budgeter

import (
	"context"
	"net"
	"net/http"

	"github.com/valyala/fasthttp"
)

type accountKey struct{}

// Observe makes the server tell its connections which part of a request they carry; all its listeners must be a Listener, which TLS may
// wrap if it is Encrypted.
func Observe(server *http.Server) {
	server.ConnState = func(from net.Conn, state http.ConnState) {
		if c, ok := from.(*conn); ok {
			c.observe(state)
		}
	}
	server.ConnContext = func(ctx context.Context, from net.Conn) context.Context {
		if c, ok := from.(*conn); ok {
			return context.WithValue(ctx, accountKey{}, c.Account)
		}
		return ctx
	}
}

// AccountOf returns the account of the connection that a request came on; nil if it has none.
func AccountOf(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

// ObserveFast is Observe for fasthttp, whose listeners must have WholeRequests.
func ObserveFast(server *fasthttp.Server) {
	states := map[fasthttp.ConnState]http.ConnState{fasthttp.StateActive: http.StateActive, fasthttp.StateIdle: http.StateIdle}
	server.ConnState = func(from net.Conn, state fasthttp.ConnState) {
		if c, ok := from.(*conn); ok {
			if state, ok := states[state]; ok {
				c.observe(state)
			}
		}
	}
}

// AccountOfFast is AccountOf for fasthttp.
func AccountOfFast(ctx *fasthttp.RequestCtx) *Account {
	if c, ok := ctx.Conn().(*conn); ok {
		return c.Account
	}
	return nil
}
