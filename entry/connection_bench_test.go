package entry

import (
	"net"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
)

// BenchmarkConnection compares a new connection for each call, as dispatches use it, with a reused connection.
func BenchmarkConnection(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("{}") }}
	var wait conc.WaitGroup
	wait.Go(func() { _ = server.Serve(listener) })
	defer wait.Wait()
	defer func() { _ = server.Shutdown() }()
	address := dotterelpulley.Address(listener.Addr().String())
	timeouts := DefaultSettings().Timeouts

	b.Run("own", func(b *testing.B) {
		for b.Loop() {
			c := newCall(address, "/v1/call", timeouts)
			if err := c.do(b.Context()); err != nil {
				b.Fatal(err)
			}
			c.close()
		}
	})
	b.Run("kept", func(b *testing.B) {
		client := fasthttp.HostClient{Addr: string(address)}
		defer client.CloseIdleConnections()
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + string(address) + "/v1/call")
		req.Header.SetMethod(fasthttp.MethodPost)
		for b.Loop() {
			if err := client.Do(req, resp); err != nil {
				b.Fatal(err)
			}
		}
	})
}
