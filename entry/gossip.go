package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	gossipInterval = 100 * time.Millisecond
	gossipTimeout  = time.Second
	// leavingTTL is how long an endpoint gets no requests after another host reported it as leaving.
	leavingTTL = 30 * time.Second
)

// gossip exchanges the gossiper's messages with other entry hosts.
type gossip struct {
	entry *Entry

	mu   sync.Mutex
	core gossiper.Gossiper
}

// join initializes the gossiper with the host's current incarnation.
func (g *gossip) join() {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.entry.settings
	incarnation := g.entry.claims.session().core.Self.Incarnation
	g.core.Self = gossiper.Member{
		Host:          s.Host,
		Incarnation:   incarnation,
		PeerAddress:   s.PeerAddress,
		CallerAddress: s.CallerAddress,
		Zone:          s.Zone,
	}
	g.core.Accept = acceptable
	g.core.Seed = xxhash.Sum64String(string(s.Host) + string(incarnation))
}

// setListed passes the entry hosts of the host list to the gossiper.
func (g *gossip) setListed(now time.Time, hosts []lister.Host) {
	listed := make([]gossiper.Member, 0, len(hosts))
	for _, h := range hosts {
		listed = append(listed, gossiper.Member{Host: h.ID, PeerAddress: h.PeerAddress, CallerAddress: h.Address, Zone: h.Zone})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetHostList(now, listed)
}

// tick starts the exchanges that are due.
func (g *gossip) tick() {
	now := time.Now()
	load := g.entry.queue.load()
	g.mu.Lock()
	g.core.SetLoad(load)
	outgoing := g.core.Tick(now)
	g.mu.Unlock()
	g.send(outgoing)
}

// receive processes and answers an exchange that another host started.
func (g *gossip) receive(now time.Time, req *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	g.mu.Lock()
	reply, outgoing := g.core.Receive(now, messageFromRequest(req))
	learned, refused := g.core.TakeNewFacts(), g.core.TakeRefusedCount()
	g.mu.Unlock()
	g.countRefused(refused)
	g.applyFacts(learned)
	g.send(outgoing)
	return replyToWire(reply)
}

func (g *gossip) send(outgoing []gossiper.OutgoingMessage) {
	for _, message := range outgoing {
		g.entry.tasks.Go(func() { g.exchange(message) })
	}
}

func (g *gossip) exchange(message gossiper.OutgoingMessage) {
	ctx, cancel := context.WithTimeout(g.entry.ctx, gossipTimeout)
	defer cancel()
	g.entry.counters.Add("gossip-bytes", int64(message.Message.Bytes()))
	reply, err := g.entry.peer(message.Address).Exchange(ctx, requestOfMessage(message.Message))
	if g.entry.ctx.Err() != nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	var outgoing []gossiper.OutgoingMessage
	if err == nil {
		outgoing = g.core.ReceiveReply(now, messageFromReply(reply))
	} else {
		outgoing = g.core.RecordFailure(now, message.Host)
	}
	learned, refused := g.core.TakeNewFacts(), g.core.TakeRefusedCount()
	g.mu.Unlock()
	g.countRefused(refused)
	if err != nil {
		g.entry.counters.Inc("retry-gossip")
	}
	g.applyFacts(learned)
	g.send(outgoing)
}

func (g *gossip) countRefused(count int) {
	if count > 0 {
		g.entry.counters.Add("facts-refused", int64(count))
	}
}

// applyFacts applies newly learned facts.
func (g *gossip) applyFacts(facts []gossiper.Fact) {
	for _, f := range facts {
		g.entry.counters.Inc("facts-" + string(f.Kind))
		switch f.Kind {
		case gossiper.KindLeavingEndpoint:
			g.entry.queue.suspect(dotterelpulley.EndpointID(f.Subject), f.Expires)
		case gossiper.KindBadVersion:
			if err := g.entry.acceptBadVersion(f.Value); err != nil {
				g.countRefused(1)
			}
		case gossiper.KindCrash:
			g.entry.applyCrash(f)
		case gossiper.KindDrainingHost, gossiper.KindSuspectHost:
		}
	}
}

// broadcast sends facts of this host to its peers immediately.
func (g *gossip) broadcast(now time.Time, facts ...gossiper.Fact) {
	g.mu.Lock()
	outgoing := g.core.Spread(now, facts...)
	g.mu.Unlock()
	g.send(outgoing)
}

// broadcastLeaving broadcasts that an endpoint has reported that it is leaving.
func (g *gossip) broadcastLeaving(now time.Time, id dotterelpulley.EndpointID) {
	g.broadcast(now, gossiper.Fact{
		Kind:     gossiper.KindLeavingEndpoint,
		Subject:  string(id),
		Revision: now.Unix(),
		Expires:  now.Add(leavingTTL),
	})
}

// drain broadcasts that this host is draining.
func (g *gossip) drain(now time.Time) {
	g.mu.Lock()
	outgoing := g.core.Drain(now)
	g.mu.Unlock()
	g.send(outgoing)
}

// members returns what is known of the other entry hosts.
func (g *gossip) members(now time.Time) map[dotterelpulley.HostID]gossiper.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := map[dotterelpulley.HostID]gossiper.Member{}
	for _, m := range g.core.Members(now) {
		members[m.Host] = m
	}
	return members
}
