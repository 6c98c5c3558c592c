package gateway

import (
	"context"
	"encoding/json"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// hostRegistration is a host's registration in the store, for hosts that start later.
type hostRegistration struct {
	Zone    dotterelpulley.ZoneID  `json:"zone"`
	Peer    dotterelpulley.Address `json:"peer"`
	Callers dotterelpulley.Address `json:"callers"`
}

// registerHost writes this host's registration and reads those of the others, until each has succeeded once.
func (g *Gateway) registerHost() {
	self := g.peers.self()
	value, err := json.Marshal(hostRegistration{Zone: self.Zone, Peer: self.PeerAddress, Callers: self.CallerAddress})
	if err != nil {
		g.event(log.ErrorLevel, "introduction-failed").Err(err).Msg("")
		return
	}
	written := false
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
		if !written {
			err = g.store.Append(ctx, platform.HostsTopic, platform.Record{Key: string(self.ID), Value: value})
			written = err == nil
		}
		if written {
			var records []platform.Record
			if records, _, err = g.store.Newest(ctx, platform.HostsTopic); err == nil {
				cancel()
				g.addHosts(records)
				return
			}
		}
		cancel()
		g.event(log.InfoLevel, "introduction-delayed").Err(err).Msg("")
		repeater.Sleep(g.ctx, fallbackRetryDelay)
	}
}

func (g *Gateway) addHosts(records []platform.Record) {
	for _, r := range records {
		var h hostRegistration
		if err := json.Unmarshal(r.Value, &h); err != nil {
			g.event(log.WarnLevel, "host-unreadable").Str("peer", r.Key).Err(err).Msg("")
			continue
		}
		g.peers.addHost(announcer.Host{ID: dotterelpulley.HostID(r.Key), Zone: h.Zone, PeerAddress: h.Peer, CallerAddress: h.Callers})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyBounds()
}
