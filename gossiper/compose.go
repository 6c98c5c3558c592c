package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// factsDigestStream is the key among the heads for the digest of a host's facts.
const factsDigestStream = Stream("facts")

// compose fills a message up to the budget: critical facts first, then records, other facts and members in rotation.
// The request is the message that it replies to; nil if it starts an exchange.
func (g *Gossiper) compose(request *Message) Message {
	room := g.budget.maxMessageSize()
	self := g.Self
	message := Message{Sender: self, Heads: g.heads()}
	room -= message.Bytes()
	room = g.addPriorityFacts(&message, room)
	room = g.addRecords(&message, room, request)
	if request != nil && request.Heads[factsDigestStream] != message.Heads[factsDigestStream] {
		room = g.addOtherFacts(&message, room)
	}
	g.addMembers(&message, room)
	g.budget.spend(message.Bytes())
	return message
}

func (g *Gossiper) heads() map[Stream]Offset {
	heads := map[Stream]Offset{}
	for s, t := range g.tails {
		if t.head > 0 {
			heads[s] = t.head
		}
	}
	if len(g.facts) > 0 {
		heads[factsDigestStream] = g.digest()
	}
	return heads
}

// digest returns a value that is equal on hosts with the same facts. It leaves out suspicions, which change too quickly.
func (g *Gossiper) digest() Offset {
	var sum uint64
	for id, f := range g.facts {
		if id.Kind == KindSuspectHost {
			continue
		}
		h := xxhash.NewWithSeed(uint64(f.Revision))
		_, _ = h.WriteString(string(id.Kind) + "\x00" + id.Subject + "\x00")
		_, _ = h.Write(f.Value)
		sum += h.Sum64()
	}
	return Offset(sum >> 24)
}

// hasPriority reports whether the fact is critical and still has to be forwarded ahead of other facts.
func (f *fact) hasPriority() bool {
	return critical[f.Kind] && f.sent < maxPrioritySends
}

func (g *Gossiper) sortedFacts(matches func(*fact) bool) []*fact {
	var found []*fact
	for _, f := range g.facts {
		if matches(f) {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b *fact) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return found
}

// addPriorityFacts adds critical facts even if they exceed the remaining room, as debt of the budget, and at least
// one fact of any size.
func (g *Gossiper) addPriorityFacts(message *Message, room int) int {
	for _, f := range g.sortedFacts((*fact).hasPriority) {
		if room -= f.bytes(); room < -maxCriticalOverrun && len(message.Facts) > 0 {
			return room
		}
		f.sent++
		message.Facts = append(message.Facts, f.Fact)
	}
	return room
}

// addOtherFacts adds the least often sent facts for a host whose facts differ. Critical facts may exceed the room as
// they do in addPriorityFacts.
func (g *Gossiper) addOtherFacts(message *Message, room int) int {
	for _, f := range g.sortedFacts(func(f *fact) bool { return !f.hasPriority() }) {
		minRoom := 0
		if critical[f.Kind] {
			minRoom = -maxCriticalOverrun
		}
		if room-f.bytes() < minRoom && len(message.Facts) > 0 {
			continue
		}
		room -= f.bytes()
		f.sent++
		message.Facts = append(message.Facts, f.Fact)
	}
	return room
}

// addRecords adds the records that the requesting host is missing or, without a request, those not forwarded often enough yet.
func (g *Gossiper) addRecords(message *Message, room int, request *Message) int {
	for s, t := range g.tails {
		var missing []Record
		if request != nil {
			missing = t.after(request.Heads[s])
		}
		for _, r := range t.records {
			if request == nil && t.sent[r.Offset] < maxPrioritySends {
				missing = append(missing, r)
			}
		}
		for _, r := range missing {
			if room < 0 {
				return room
			}
			room -= r.bytes()
			t.sent[r.Offset]++
			message.Records = append(message.Records, r)
		}
	}
	return room
}

// addMembers adds members that refuted a suspicion, then the others in rotation. Each heartbeat is sent a few times only.
func (g *Gossiper) addMembers(message *Message, room int) {
	for _, id := range g.order {
		if m := g.members[id]; m.refuted && !m.addTo(message, &room) {
			return
		}
	}
	for range g.order {
		g.nextMember = (g.nextMember + 1) % len(g.order)
		if m := g.members[g.order[g.nextMember]]; !m.refuted && !m.addTo(message, &room) {
			return
		}
	}
}
