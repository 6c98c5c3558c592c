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
	gossipEvery   = 100 * time.Millisecond
	gossipTimeout = time.Second
	// leavingFor is how long a leaving endpoint gets nothing on another host's word alone.
	leavingFor = 30 * time.Second
)

// gossip carries the gossiper's messages between the entry hosts.
type gossip struct {
	entry *Entry

	mu   sync.Mutex
	core gossiper.Gossiper
}

// join makes the host known under its new incarnation.
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
	g.core.Accept = readable
	g.core.Seed = xxhash.Sum64String(string(s.Host) + string(incarnation))
}

// list takes over which entry hosts the host list has.
func (g *gossip) list(now time.Time, hosts []lister.Host) {
	listed := make([]gossiper.Member, 0, len(hosts))
	for _, h := range hosts {
		listed = append(listed, gossiper.Member{Host: h.ID, PeerAddress: h.PeerAddress, CallerAddress: h.Address, Zone: h.Zone})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetHostList(now, listed)
}

// tick begins the exchanges that are due.
func (g *gossip) tick() {
	now := time.Now()
	load := g.entry.queue.load()
	g.mu.Lock()
	g.core.SetLoad(load)
	sends := g.core.Tick(now)
	g.mu.Unlock()
	g.send(sends)
}

// receive answers an exchange that another host began.
func (g *gossip) receive(now time.Time, req *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	g.mu.Lock()
	reply, sends := g.core.Receive(now, messageFromRequest(req))
	news, refused := g.core.TakeNewFacts(), g.core.TakeRefusedCount()
	g.mu.Unlock()
	g.refuse(refused)
	g.act(news)
	g.send(sends)
	return replyToWire(reply)
}

func (g *gossip) send(sends []gossiper.OutgoingMessage) {
	for _, s := range sends {
		g.entry.wait.Go(func() { g.exchange(s) })
	}
}

func (g *gossip) exchange(s gossiper.OutgoingMessage) {
	ctx, cancel := context.WithTimeout(g.entry.ctx, gossipTimeout)
	defer cancel()
	g.entry.counters.Add("gossip-bytes", int64(s.Message.Bytes()))
	reply, err := g.entry.peer(s.Address).Exchange(ctx, requestOfMessage(s.Message))
	if g.entry.ctx.Err() != nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	var sends []gossiper.OutgoingMessage
	if err == nil {
		sends = g.core.ReceiveReply(now, messageFromReply(reply))
	} else {
		sends = g.core.RecordFailure(now, s.Host)
	}
	news, refused := g.core.TakeNewFacts(), g.core.TakeRefusedCount()
	g.mu.Unlock()
	g.refuse(refused)
	if err != nil {
		g.entry.counters.Inc("retry-gossip")
	}
	g.act(news)
	g.send(sends)
}

func (g *gossip) refuse(count int) {
	if count > 0 {
		g.entry.counters.Add("facts-refused", int64(count))
	}
}

// act does what new facts ask for.
func (g *gossip) act(news []gossiper.Fact) {
	for _, f := range news {
		g.entry.counters.Inc("facts-" + string(f.Kind))
		switch f.Kind {
		case gossiper.KindLeavingEndpoint:
			g.entry.queue.suspect(dotterelpulley.EndpointID(f.Subject), f.Expires)
		case gossiper.KindBadVersion:
			if err := g.entry.takeBad(f.Value); err != nil {
				g.refuse(1)
			}
		case gossiper.KindCrash:
			g.entry.learnDeaths(f)
		case gossiper.KindDrainingHost, gossiper.KindSuspectHost:
		}
	}
}

// spread passes facts of this host on at once.
func (g *gossip) spread(now time.Time, facts ...gossiper.Fact) {
	g.mu.Lock()
	sends := g.core.Spread(now, facts...)
	g.mu.Unlock()
	g.send(sends)
}

// spreadLeaving tells the others that an endpoint says it is leaving.
func (g *gossip) spreadLeaving(now time.Time, id dotterelpulley.EndpointID) {
	g.spread(now, gossiper.Fact{
		Kind:     gossiper.KindLeavingEndpoint,
		Subject:  string(id),
		Revision: now.Unix(),
		Expires:  now.Add(leavingFor),
	})
}

// drain tells the others that this host takes nothing new.
func (g *gossip) drain(now time.Time) {
	g.mu.Lock()
	sends := g.core.Drain(now)
	g.mu.Unlock()
	g.send(sends)
}

// members returns what is known of the other entry hosts.
func (g *gossip) members(now time.Time) map[dotterelpulley.HostID]gossiper.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := map[dotterelpulley.HostID]gossiper.Member{}
	for _, m := range g.core.Members(now) {
		known[m.Host] = m
	}
	return known
}
