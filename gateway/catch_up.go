package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// catchUpDelay is how long a newer configuration on another host may take to arrive through the readers; most do.
const catchUpDelay = 150 * time.Millisecond

// catchUp gets the configuration from a host that has a newer one, unless it arrives soon in the usual way. So one host that
// reaches the store is enough to bring all others up to date, also while the readers are cut off.
func (g *Gateway) catchUp(d announcer.Digest) {
	if d.Configuration <= g.configurationVersion() || !g.catchingUp.CompareAndSwap(false, true) {
		return
	}
	g.peers.mutex.Lock()
	member, ok := g.peers.announcer.Member(d.ID)
	g.peers.mutex.Unlock()
	if !ok {
		g.catchingUp.Store(false)
		return
	}
	g.goroutines.Go(func() {
		defer g.catchingUp.Store(false)
		repeater.Sleep(g.ctx, catchUpDelay)
		g.fetchConfiguration(member)
	})
}

// fetchConfiguration gets the configuration of another host if it is still newer.
func (g *Gateway) fetchConfiguration(from announcer.Member) {
	version := g.configurationVersion()
	if g.ctx.Err() != nil || from.Configuration <= version {
		return
	}
	client, closeIdle := newRelayClient()
	defer closeIdle()
	answer, err := g.callReader(client, from, &relayer.FollowRequest{
		Configuration: version, Orders: g.changes.ordersEnd(), AcceptStoreLost: true,
	})
	if err != nil {
		g.event(log.InfoLevel, "catch-up-failed").Str("peer", string(from.ID)).Err(err).Msg("")
		return
	}
	g.metrics.Inc("catch-ups")
	if len(answer.Configuration) > 0 {
		g.applyConfiguration(answer.Configuration, -1)
	}
	for _, o := range answer.Orders {
		g.applyOrder(o)
	}
}

// configurationVersion returns the version of the configuration in force; zero if there is none yet.
func (g *Gateway) configurationVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// newRelayClient returns a client for calls to other hosts, and a function that closes its idle connections.
func newRelayClient() (client *http.Client, closeIdle func()) {
	dialer := net.Dialer{Timeout: relayDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &http.Client{Transport: verifier.Transport{RoundTripper: transport}}, transport.CloseIdleConnections
}
