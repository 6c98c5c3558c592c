package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	roundEvery = time.Second
	// criticalFanout is how many peers get critical news at once from each host that learns it.
	criticalFanout = 4
	// suspicionFanout is the same for suspicions, which a heartbeat takes back.
	suspicionFanout = 2
	// hotSends is how often critical news is passed on before it waits for its turn.
	hotSends = 8
	// retryAfter is the time to the next try of a failed exchange.
	retryAfter = 300 * time.Millisecond
	// failuresToSuspect is how many exchanges in a row fail before a host is suspected.
	failuresToSuspect = 3
	// silence and silencePerMember give the time without a heartbeat after which a host is suspected.
	silence          = 5 * time.Second
	silencePerMember = 100 * time.Millisecond
	// suspicionTime is how long a suspicion lasts without a new one.
	suspicionTime = 30 * time.Second
	// forgetAfter is when a silent host that isn't listed is forgotten.
	forgetAfter = 2 * time.Minute
	maxFacts    = 512
)

// Gossiper is one host's part in the gossip; set Self before the first call.
//
// Heartbeats are Unix seconds, so that a suspicion overtakes every heartbeat from before it.
type Gossiper struct {
	// Self is this host; its heartbeat and state are kept by the gossiper.
	Self Member
	// Seed starts the random choice of peers; each host has its own.
	Seed uint64
	// BytesPerSecond bounds what gossip costs a host in both directions; 4096 if zero.
	BytesPerSecond float64
	// Accept reports whether a fact of another host can be read; all can if it is nil.
	Accept func(Fact) bool

	random  *rand.Rand
	members map[dotterelpulley.HostID]*member
	facts   map[FactID]*fact
	tails   map[Stream]*tail
	order   []dotterelpulley.HostID
	turn    int
	budget  budget
	round   time.Time
	retries map[dotterelpulley.HostID]time.Time
	learned []Fact
	read    []Record
	refused int
	// passing collects the critical facts that came in the message at hand.
	passing []Fact
}

func (g *Gossiper) init(now time.Time) {
	if g.random == nil {
		g.random = rand.New(rand.NewPCG(g.Seed, g.Seed))
		g.members = map[dotterelpulley.HostID]*member{}
		g.facts = map[FactID]*fact{}
		g.tails = map[Stream]*tail{}
		g.retries = map[dotterelpulley.HostID]time.Time{}
		g.round = now.Add(time.Duration(g.random.Int64N(int64(roundEvery))))
	}
	g.Self.Heartbeat = max(g.Self.Heartbeat, Heartbeat(now.Unix()))
	g.budget.refill(now, g.bytesPerSecond()*ownShare)
}

func (g *Gossiper) bytesPerSecond() float64 {
	if g.BytesPerSecond > 0 {
		return g.BytesPerSecond
	}
	return defaultBytesPerSecond
}

// SetHostList tells which other entry hosts the host list has.
func (g *Gossiper) SetHostList(now time.Time, listed []Member) {
	g.init(now)
	for _, m := range g.members {
		m.listed = false
	}
	for _, one := range listed {
		if one.Host == g.Self.Host {
			continue
		}
		m := g.member(now, one.Host)
		m.listed = true
		m.PeerAddress, m.CallerAddress, m.Zone = one.PeerAddress, one.CallerAddress, one.Zone
	}
	for id, m := range g.members {
		if !m.listed && now.Sub(m.heard) > forgetAfter {
			g.drop(id)
		}
	}
}

func (g *Gossiper) member(now time.Time, id dotterelpulley.HostID) *member {
	m, ok := g.members[id]
	if !ok {
		m = &member{Member: Member{Host: id}, heard: now}
		g.members[id] = m
		at, _ := slices.BinarySearch(g.order, id)
		g.order = slices.Insert(g.order, at, id)
	}
	return m
}

func (g *Gossiper) drop(id dotterelpulley.HostID) {
	delete(g.members, id)
	delete(g.retries, id)
	if at, ok := slices.BinarySearch(g.order, id); ok {
		g.order = slices.Delete(g.order, at, at+1)
	}
}

// SetLoad tells how much of its capacity this host uses.
func (g *Gossiper) SetLoad(load float64) {
	g.Self.Load = load
}

// Drain tells the others that this host takes nothing new.
func (g *Gossiper) Drain(now time.Time) []OutgoingMessage {
	g.Self.State = Draining
	return g.Spread(now, Fact{
		Kind:     KindDrainingHost,
		Subject:  string(g.Self.Host),
		Revision: now.UnixNano(),
		Value:    []byte(g.Self.Incarnation),
		Expires:  now.Add(forgetAfter),
	})
}

// Spread adds facts of this host and returns what has to be sent at once.
func (g *Gossiper) Spread(now time.Time, facts ...Fact) []OutgoingMessage {
	g.init(now)
	g.passing = nil
	for _, f := range facts {
		g.take(now, f)
	}
	return g.pass(now)
}

// Publish adds a record that this host read from the log and returns what has to be sent at once.
func (g *Gossiper) Publish(now time.Time, r Record) []OutgoingMessage {
	g.init(now)
	if !g.tail(r.Stream).add(r) {
		return nil
	}
	return g.sendTo(now, criticalFanout)
}

// SetHead tells how far this host has read a stream of the log.
func (g *Gossiper) SetHead(s Stream, head Offset) {
	if g.tails == nil {
		return
	}
	t := g.tail(s)
	t.head = max(t.head, head)
}

func (g *Gossiper) tail(s Stream) *tail {
	t, ok := g.tails[s]
	if !ok {
		t = &tail{}
		g.tails[s] = t
	}
	return t
}

// Tick returns the exchanges that are due.
func (g *Gossiper) Tick(now time.Time) []OutgoingMessage {
	g.init(now)
	var sends []OutgoingMessage
	for id, at := range g.retries {
		if now.Before(at) {
			continue
		}
		delete(g.retries, id)
		if m, ok := g.members[id]; ok {
			sends = append(sends, g.send(m))
		}
	}
	slices.SortFunc(sends, func(a, b OutgoingMessage) int { return cmp.Compare(a.Host, b.Host) })
	if now.Before(g.round) {
		return sends
	}
	g.round = g.round.Add(roundEvery)
	if g.round.Before(now) {
		g.round = now.Add(roundEvery)
	}
	g.expire(now)
	g.suspectSilent(now)
	return append(sends, g.sendTo(now, 1)...)
}

func (g *Gossiper) expire(now time.Time) {
	for id, f := range g.facts {
		if now.After(f.Expires) {
			delete(g.facts, id)
		}
	}
}

// sendTo returns messages to so many random peers.
func (g *Gossiper) sendTo(now time.Time, count int) []OutgoingMessage {
	var sends []OutgoingMessage
	for _, m := range g.randomPeers(now, count) {
		sends = append(sends, g.send(m))
	}
	return sends
}

func (g *Gossiper) send(m *member) OutgoingMessage {
	message := g.compose(nil)
	return OutgoingMessage{Host: m.Host, Address: m.PeerAddress, Message: message}
}

// randomPeers returns different peers that can be reached, suspects only while no one else is there.
func (g *Gossiper) randomPeers(now time.Time, count int) []*member {
	var found, suspects []*member
	for _, i := range g.random.Perm(len(g.order)) {
		m := g.members[g.order[i]]
		if m.PeerAddress == "" {
			continue
		}
		if g.suspected(now, m) {
			suspects = append(suspects, m)
			continue
		}
		found = append(found, m)
		if len(found) == count {
			return found
		}
	}
	return append(found, suspects[:min(len(suspects), count-len(found))]...)
}
