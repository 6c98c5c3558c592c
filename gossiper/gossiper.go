package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	roundInterval = time.Second
	// criticalFanout is the number of peers to which each host immediately forwards new critical facts.
	criticalFanout = 4
	// suspicionFanout is the same for suspicions; it is lower because a heartbeat can revoke them.
	suspicionFanout = 2
	// maxPrioritySends is how many times a critical fact is sent with priority, after which it is sent in rotation. It also
	// bounds how many times a heartbeat is sent, and how many times a record is sent to hosts that did not request it.
	maxPrioritySends = 8
	// retryDelay is the delay before a failed exchange is retried.
	retryDelay = 300 * time.Millisecond
	// failuresToSuspect is the number of consecutive failed exchanges after which a host is suspected.
	failuresToSuspect = 3
	// silenceTimeout plus silenceTimeoutPerMember for each member is the time without a heartbeat after which a host
	// is suspected.
	silenceTimeout          = 5 * time.Second
	silenceTimeoutPerMember = 100 * time.Millisecond
	// suspicionTTL is how long a suspicion lasts unless it is renewed.
	suspicionTTL = 30 * time.Second
	// forgetAfter is the time without a heartbeat after which a host that is not in the host list is removed.
	forgetAfter = 2 * time.Minute
	// maxFacts bounds the number of facts; critical facts may exceed it.
	maxFacts = 512
)

// Gossiper is one host's participant in the gossip protocol; set Self before the first call.
//
// Heartbeats are Unix seconds, so that a suspicion supersedes every earlier heartbeat.
type Gossiper struct {
	// Self is this host; the gossiper maintains its heartbeat and state.
	Self Member
	// Seed seeds the random choice of peers; each host needs its own.
	Seed uint64
	// BytesPerSecond bounds a host's gossip traffic in both directions together; 4096 if zero.
	BytesPerSecond float64
	// Accept reports whether a fact from another host is valid; nil accepts all.
	Accept func(Fact) bool

	random       *rand.Rand
	members      map[dotterelpulley.HostID]*member
	facts        map[FactID]*fact
	tails        map[Stream]*tail
	order        []dotterelpulley.HostID
	nextMember   int
	budget       budget
	nextRound    time.Time
	retries      map[dotterelpulley.HostID]time.Time
	newFacts     []Fact
	newRecords   []Record
	refusedCount int
	// pendingCritical collects the critical facts of the current message, to be forwarded.
	pendingCritical []Fact
}

func (g *Gossiper) init(now time.Time) {
	if g.random == nil {
		g.random = rand.New(rand.NewPCG(g.Seed, g.Seed))
		g.members = map[dotterelpulley.HostID]*member{}
		g.facts = map[FactID]*fact{}
		g.tails = map[Stream]*tail{}
		g.retries = map[dotterelpulley.HostID]time.Time{}
		g.nextRound = now.Add(time.Duration(g.random.Int64N(int64(roundInterval))))
	}
	g.Self.Heartbeat = max(g.Self.Heartbeat, Heartbeat(now.Unix()))
	g.budget.refill(now, g.bytesPerSecond()*sendFraction)
}

func (g *Gossiper) bytesPerSecond() float64 {
	if g.BytesPerSecond > 0 {
		return g.BytesPerSecond
	}
	return defaultBytesPerSecond
}

// SetHostList sets the entry hosts in the host list.
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
		if !m.listed && now.Sub(m.lastHeard) > forgetAfter {
			g.drop(id)
		}
	}
}

func (g *Gossiper) member(now time.Time, id dotterelpulley.HostID) *member {
	m, ok := g.members[id]
	if !ok {
		m = &member{Member: Member{Host: id}, lastHeard: now}
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

// SetLoad sets the share of its capacity that this host uses.
func (g *Gossiper) SetLoad(load float64) {
	g.Self.Load = load
}

// Drain announces that this host accepts no new requests.
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

// Spread adds facts from this host and returns the messages to send immediately.
func (g *Gossiper) Spread(now time.Time, facts ...Fact) []OutgoingMessage {
	g.init(now)
	g.pendingCritical = nil
	for _, f := range facts {
		g.addFact(now, f)
	}
	return g.forwardCritical(now)
}

// Publish adds a record that this host read from the log and returns the messages to send immediately.
func (g *Gossiper) Publish(now time.Time, r Record) []OutgoingMessage {
	g.init(now)
	if !g.streamTail(r.Stream).add(r) {
		return nil
	}
	return g.messagesToPeers(now, criticalFanout)
}

// SetHead sets the offset up to which this host has read a stream of the log.
func (g *Gossiper) SetHead(s Stream, head Offset) {
	if g.tails == nil {
		return
	}
	t := g.streamTail(s)
	t.head = max(t.head, head)
}

func (g *Gossiper) streamTail(s Stream) *tail {
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
	var messages []OutgoingMessage
	for id, at := range g.retries {
		if now.Before(at) {
			continue
		}
		delete(g.retries, id)
		if m, ok := g.members[id]; ok {
			messages = append(messages, g.messageTo(m))
		}
	}
	slices.SortFunc(messages, func(a, b OutgoingMessage) int { return cmp.Compare(a.Host, b.Host) })
	if now.Before(g.nextRound) {
		return messages
	}
	g.nextRound = g.nextRound.Add(roundInterval)
	if g.nextRound.Before(now) {
		g.nextRound = now.Add(roundInterval)
	}
	g.expire(now)
	g.updateStates(now)
	return append(messages, g.messagesToPeers(now, 1)...)
}

func (g *Gossiper) expire(now time.Time) {
	for id, f := range g.facts {
		if now.After(f.Expires) {
			delete(g.facts, id)
		}
	}
}

// messagesToPeers returns messages to count random peers.
func (g *Gossiper) messagesToPeers(now time.Time, count int) []OutgoingMessage {
	var messages []OutgoingMessage
	for _, m := range g.randomPeers(now, count) {
		messages = append(messages, g.messageTo(m))
	}
	return messages
}

func (g *Gossiper) messageTo(m *member) OutgoingMessage {
	message := g.compose(nil)
	return OutgoingMessage{Host: m.Host, Address: m.PeerAddress, Message: message}
}

// randomPeers returns distinct peers with a known address, and suspects only if there are too few others.
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
