package gossiper

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Receive takes the message that begins an exchange; it returns the reply and what else has to be sent at once.
func (g *Gossiper) Receive(now time.Time, message Message) (Message, []OutgoingMessage) {
	g.init(now)
	passing := g.merge(now, message)
	reply := g.compose(&message)
	return reply, passing
}

// ReceiveReply takes the reply of an exchange that this host began.
func (g *Gossiper) ReceiveReply(now time.Time, reply Message) []OutgoingMessage {
	g.init(now)
	if m, ok := g.members[reply.Sender.Host]; ok {
		m.failures = 0
	}
	return g.merge(now, reply)
}

// RecordFailure says that an exchange with the host came to nothing.
func (g *Gossiper) RecordFailure(now time.Time, id dotterelpulley.HostID) []OutgoingMessage {
	g.init(now)
	m, ok := g.members[id]
	if !ok {
		return nil
	}
	m.failures++
	if m.failures < failuresToSuspect {
		g.retries[id] = now.Add(retryAfter)
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
		Expires:  now.Add(suspicionTime),
	}
}

// suspected reports whether somebody could not reach the member after its newest heartbeat.
func (g *Gossiper) suspected(now time.Time, m *member) bool {
	f, ok := g.facts[FactID{Kind: KindSuspectHost, Subject: string(m.Host)}]
	return ok && now.Before(f.Expires) && f.Revision >= int64(m.Heartbeat)
}

// suspectSilent marks the members whose heartbeats have stopped.
func (g *Gossiper) suspectSilent(now time.Time) {
	patience := silence + time.Duration(len(g.members))*silencePerMember
	for _, m := range g.members {
		m.State = g.stateOf(now, m, patience)
	}
}

func (g *Gossiper) stateOf(now time.Time, m *member, patience time.Duration) State {
	if g.suspected(now, m) || (m.Heartbeat > 0 && now.Sub(m.heard) > patience) {
		return Suspect
	}
	f, ok := g.facts[FactID{Kind: KindDrainingHost, Subject: string(m.Host)}]
	if ok && (m.Incarnation == "" || string(f.Value) == string(m.Incarnation)) {
		return Draining
	}
	return Alive
}

// merge takes a message over and returns the critical news in it for others.
func (g *Gossiper) merge(now time.Time, message Message) []OutgoingMessage {
	g.passing = nil
	g.takeMember(now, message.Sender)
	for _, m := range message.Members {
		g.takeMember(now, m)
	}
	for _, f := range message.Facts {
		if g.Accept != nil && !g.Accept(f) {
			g.refused++
			continue
		}
		g.take(now, f)
	}
	fresh := false
	for _, r := range message.Records {
		if g.tail(r.Stream).add(r) {
			g.read = append(g.read, r)
			fresh = true
		}
	}
	if fresh {
		return g.sendTo(now, criticalFanout)
	}
	return g.pass(now)
}

func (g *Gossiper) takeMember(now time.Time, news Member) {
	if news.Host == g.Self.Host || news.Host == "" {
		return
	}
	m := g.member(now, news.Host)
	suspect := m.State == Suspect
	if m.merge(now, news) {
		m.back = m.back || suspect
	}
}

// take keeps a fact that is new and notes it for others if it is critical.
func (g *Gossiper) take(now time.Time, f Fact) {
	if !now.Before(f.Expires) {
		return
	}
	known, ok := g.facts[f.ID()]
	if ok && !f.beats(known.Fact) {
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
	g.learned = append(g.learned, f)
	if critical[f.Kind] {
		g.passing = append(g.passing, f)
	}
}

// refute answers a suspicion of this host, or one that a newer heartbeat has overtaken.
func (g *Gossiper) refute(f Fact) bool {
	if f.Subject == string(g.Self.Host) {
		g.Self.Heartbeat = max(g.Self.Heartbeat, Heartbeat(f.Revision)+1)
		return true
	}
	m, ok := g.members[dotterelpulley.HostID(f.Subject)]
	return ok && int64(m.Heartbeat) > f.Revision
}

// pass returns messages with the critical facts that were just learned.
func (g *Gossiper) pass(now time.Time) []OutgoingMessage {
	if len(g.passing) == 0 {
		return nil
	}
	fanout := suspicionFanout
	for _, f := range g.passing {
		if f.Kind != KindSuspectHost {
			fanout = criticalFanout
		}
	}
	g.passing = nil
	return g.sendTo(now, fanout)
}

// Members returns the other hosts as they are known now, by name.
func (g *Gossiper) Members(now time.Time) []Member {
	g.init(now)
	g.suspectSilent(now)
	all := make([]Member, 0, len(g.order))
	for _, id := range g.order {
		all = append(all, g.members[id].Member)
	}
	return all
}

// Facts returns the facts that hold now.
func (g *Gossiper) Facts(now time.Time) []Fact {
	var all []Fact
	for _, f := range g.sortedFacts(func(f *fact) bool { return now.Before(f.Expires) }) {
		all = append(all, f.Fact)
	}
	return all
}

// TakeNewFacts returns the facts that are new since the last call.
func (g *Gossiper) TakeNewFacts() []Fact {
	news := g.learned
	g.learned = nil
	return news
}

// TakeRefusedCount returns how many facts were refused since the last call.
func (g *Gossiper) TakeRefusedCount() int {
	count := g.refused
	g.refused = 0
	return count
}

// TakeNewRecords returns the records that peers brought since the last call.
func (g *Gossiper) TakeNewRecords() []Record {
	news := g.read
	g.read = nil
	return news
}
