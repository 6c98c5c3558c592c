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

// hostRecord is a host's own entry in the store, for hosts that start later.
type hostRecord struct {
	Zone    dotterelpulley.ZoneID  `json:"zone"`
	Peer    dotterelpulley.Address `json:"peer"`
	Callers dotterelpulley.Address `json:"callers"`
}

// introduce writes this host's entry and reads the others', until both have been done once.
func (g *Gateway) introduce() {
	self := g.peers.self()
	value, err := json.Marshal(hostRecord{Zone: self.Zone, Peer: self.PeerAddress, Callers: self.CallerAddress})
	if err != nil {
		g.event(log.ErrorLevel, "introduction-failed").Err(err).Msg("")
		return
	}
	written := false
	for g.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(g.ctx, answerLimit)
		if !written {
			err = g.store.Append(ctx, platform.HostsTopic, platform.Record{Key: string(self.ID), Value: value})
			written = err == nil
		}
		if written {
			var records []platform.Record
			if records, _, err = g.store.Newest(ctx, platform.HostsTopic); err == nil {
				cancel()
				g.meet(records)
				return
			}
		}
		cancel()
		g.event(log.InfoLevel, "introduction-delayed").Err(err).Msg("")
		repeater.Sleep(g.ctx, standInRetry)
	}
}

func (g *Gateway) meet(records []platform.Record) {
	for _, r := range records {
		var h hostRecord
		if err := json.Unmarshal(r.Value, &h); err != nil {
			g.event(log.WarnLevel, "host-unreadable").Str("peer", r.Key).Err(err).Msg("")
			continue
		}
		g.peers.named(announcer.Host{ID: dotterelpulley.HostID(r.Key), Zone: h.Zone, PeerAddress: h.Peer, CallerAddress: h.Callers})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.applyBounds()
}
