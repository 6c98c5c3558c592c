package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
)

// probeMembers checks on the other hosts.
func (g *Gateway) probeMembers() {
	g.peers.mutex.Lock()
	messages := g.peers.announcer.Probe(time.Now())
	g.peers.mutex.Unlock()
	for _, m := range messages {
		g.sendTo([]dotterelpulley.Address{m.To}, m.Message)
	}
}

// handleProbe answers a probe of this host, and passes on one of another host.
func (g *Gateway) handleProbe(from dotterelpulley.Address, p announcer.Probe) {
	self := g.peers.self()
	if p.Target != self.PeerAddress {
		g.sendTo([]dotterelpulley.Address{p.Target}, p)
		return
	}
	g.peers.mutex.Lock()
	incarnation := g.peers.identity.Incarnation
	g.peers.mutex.Unlock()
	g.sendTo([]dotterelpulley.Address{from}, announcer.Ack{Number: p.Number, Origin: p.Origin, Host: self.ID, Incarnation: incarnation})
}

// handleAck records the answer to a probe of this host, and passes on one to another host.
func (g *Gateway) handleAck(now time.Time, a announcer.Ack) {
	if a.Origin != g.peers.self().PeerAddress {
		g.sendTo([]dotterelpulley.Address{a.Origin}, a)
		return
	}
	g.peers.mutex.Lock()
	defer g.peers.mutex.Unlock()
	g.peers.announcer.ReceiveAck(now, a)
}

// handleCorrection raises this host's incarnation above those of its earlier starts.
func (g *Gateway) handleCorrection(c announcer.Correction) {
	g.peers.mutex.Lock()
	raised := c.Host == g.settings.Host && g.peers.identity.Accept(c)
	g.peers.mutex.Unlock()
	if !raised {
		return
	}
	g.event(log.InfoLevel, "incarnation").Uint64("incarnation", c.Incarnation+1).Msg("")
	g.peers.sendNow()
}
