package connector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// LOST: keep-alive probes ended a stream that had been held up for 1.8 s, though its connection would have gone on.
func TestKeepAliveProbesEndAnAnswerUnderWay(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	var conn *net.TCPConn
	var p Connector
	defer p.Close()
	p.Dial = func(_ context.Context, network, address string) (net.Conn, error) {
		dialed, err := net.Dial(network, address)
		if err == nil {
			conn = dialed.(*net.TCPConn)
		}
		return dialed, err
	}
	x, err := p.Do(context.Background(), dotterelpulley.Address(server.Listener.Addr().String()),
		Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "a", Header: http.Header{}})
	c.Assert(err, qt.IsNil)
	probes := func() (count int) {
		raw, err := conn.SyscallConn()
		c.Assert(err, qt.IsNil)
		var failed error
		c.Assert(raw.Control(func(fd uintptr) {
			count, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		}), qt.IsNil)
		c.Assert(failed, qt.IsNil)
		return count
	}
	const limit = 15 * time.Second
	c.Assert(x.OutlastSilence(limit), qt.IsNil)
	c.Assert(keepAliveIdle+time.Duration(probes())*keepAliveInterval >= limit, qt.IsTrue)
	c.Assert(x.OutlastSilence(time.Hour), qt.IsNil)
	c.Assert(probes(), qt.Equals, maxKeepAliveCount)
	x.Release()
	c.Assert(probes(), qt.Equals, keepAliveCount)
}
