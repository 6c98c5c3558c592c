package gossiper

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Receive processes the message that starts an exchange; it returns the reply and any messages to send immediately.
func (g *Gossiper) Receive(now time.Time, message Message) (Message, []OutgoingMessage) {
	g.init(now)
	forwards := g.merge(now, message)
	reply := g.compose(&message)
	return reply, forwards
}

// ReceiveReply processes the reply in an exchange that this host started.
func (g *Gossiper) ReceiveReply(now time.Time, reply Message) []OutgoingMessage {
	g.init(now)
	if m, ok := g.members[reply.Sender.Host]; ok {
		m.failures = 0
	}
	return g.merge(now, reply)
}

// RecordFailure records that an exchange with the host failed.
func (g *Gossiper) RecordFailure(now time.Time, id dotterelpulley.HostID) []OutgoingMessage {
	g.init(now)
	m, ok := g.members[id]
	if !ok {
		return nil
	}
	m.failures++
	if m.failures < failuresToSuspect {
		g.retries[id] = now.Add(retryDelay)
		return nil
	}
	if g.suspected(now, m) {
		return nil
	}
	return g.Spread(now, suspicion(now, m))
}

func suspicion(now time.Time, m *member) Fact {
	return Fact{
		Kind:     KindSuspectHost,
		Subject:  string(m.Host),
		Revision: max(int64(m.Heartbeat), now.Unix()),
		Expires:  now.Add(suspicionTTL),
	}
}

// suspected reports whether any host failed to reach the member after its newest heartbeat.
func (g *Gossiper) suspected(now time.Time, m *member) bool {
	f, ok := g.facts[FactID{Kind: KindSuspectHost, Subject: string(m.Host)}]
	return ok && now.Before(f.Expires) && f.Revision >= int64(m.Heartbeat)
}

// updateStates sets the state of each member; members without recent heartbeats become suspects.
func (g *Gossiper) updateStates(now time.Time) {
	timeout := silenceTimeout + time.Duration(len(g.members))*silenceTimeoutPerMember
	for _, m := range g.members {
		m.State = g.stateOf(now, m, timeout)
	}
}

func (g *Gossiper) stateOf(now time.Time, m *member, timeout time.Duration) State {
	if g.suspected(now, m) || (m.Heartbeat > 0 && now.Sub(m.lastHeard) > timeout) {
		return Suspect
	}
	f, ok := g.facts[FactID{Kind: KindDrainingHost, Subject: string(m.Host)}]
	if ok && (m.Incarnation == "" || string(f.Value) == string(m.Incarnation)) {
		return Draining
	}
	return Alive
}

// merge processes a message and returns the messages that forward its new critical facts or records.
func (g *Gossiper) merge(now time.Time, message Message) []OutgoingMessage {
	g.pendingCritical = nil
	g.mergeMember(now, message.Sender)
	for _, m := range message.Members {
		g.mergeMember(now, m)
	}
	for _, f := range message.Facts {
		if g.Accept != nil && !g.Accept(f) {
			g.refusedCount++
			continue
		}
		g.addFact(now, f)
	}
	hasNewRecords := false
	for _, r := range message.Records {
		if g.streamTail(r.Stream).add(r) {
			g.newRecords = append(g.newRecords, r)
			hasNewRecords = true
		}
	}
	if hasNewRecords {
		return g.messagesToPeers(now, criticalFanout)
	}
	return g.forwardCritical(now)
}

func (g *Gossiper) mergeMember(now time.Time, update Member) {
	if update.Host == g.Self.Host || update.Host == "" {
		return
	}
	m := g.member(now, update.Host)
	suspect := m.State == Suspect
	if m.merge(now, update) {
		m.refuted = m.refuted || suspect
	}
}

// addFact stores a fact if it is new, and queues it for forwarding if it is critical.
func (g *Gossiper) addFact(now time.Time, f Fact) {
	if !now.Before(f.Expires) {
		return
	}
	known, ok := g.facts[f.ID()]
	if ok && !f.supersedes(known.Fact) {
		return
	}
	if f.Kind == KindSuspectHost && g.refute(f) {
		return
	}
	if !ok && len(g.facts) >= maxFacts {
		g.expire(now)
		if len(g.facts) >= maxFacts && !critical[f.Kind] {
			return
		}
	}
	g.facts[f.ID()] = &fact{Fact: f}
	g.newFacts = append(g.newFacts, f)
	if critical[f.Kind] {
		g.pendingCritical = append(g.pendingCritical, f)
	}
}

// refute reports whether a suspicion is rejected because it concerns this host or is older than the member's heartbeat.
// A suspicion of this host raises its heartbeat.
func (g *Gossiper) refute(f Fact) bool {
	if f.Subject == string(g.Self.Host) {
		g.Self.Heartbeat = max(g.Self.Heartbeat, Heartbeat(f.Revision)+1)
		return true
	}
	m, ok := g.members[dotterelpulley.HostID(f.Subject)]
	return ok && int64(m.Heartbeat) > f.Revision
}

// forwardCritical returns messages that forward the critical facts just received.
func (g *Gossiper) forwardCritical(now time.Time) []OutgoingMessage {
	if len(g.pendingCritical) == 0 {
		return nil
	}
	fanout := suspicionFanout
	for _, f := range g.pendingCritical {
		if f.Kind != KindSuspectHost {
			fanout = criticalFanout
		}
	}
	g.pendingCritical = nil
	return g.messagesToPeers(now, fanout)
}

// Members returns the current view of the other hosts, sorted by ID.
func (g *Gossiper) Members(now time.Time) []Member {
	g.init(now)
	g.updateStates(now)
	all := make([]Member, 0, len(g.order))
	for _, id := range g.order {
		all = append(all, g.members[id].Member)
	}
	return all
}

// Facts returns the facts that have not expired.
func (g *Gossiper) Facts(now time.Time) []Fact {
	var all []Fact
	for _, f := range g.sortedFacts(func(f *fact) bool { return now.Before(f.Expires) }) {
		all = append(all, f.Fact)
	}
	return all
}

// TakeNewFacts returns the facts added since the last call.
func (g *Gossiper) TakeNewFacts() []Fact {
	facts := g.newFacts
	g.newFacts = nil
	return facts
}

// TakeRefusedCount returns the number of facts refused since the last call.
func (g *Gossiper) TakeRefusedCount() int {
	count := g.refusedCount
	g.refusedCount = 0
	return count
}

// TakeNewRecords returns the records received from peers since the last call.
func (g *Gossiper) TakeNewRecords() []Record {
	records := g.newRecords
	g.newRecords = nil
	return records
}
