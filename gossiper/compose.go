package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// factsDigest stands among the heads for the facts that a host has.
const factsDigest = Stream("facts")

// compose fills a message up to the budget: critical news first, then members and old facts by turns.
func (g *Gossiper) compose(asked *Message) Message {
	room := g.budget.message()
	self := g.Self
	message := Message{Sender: self, Heads: g.heads()}
	room -= message.Bytes()
	room = g.addHotFacts(&message, room)
	room = g.addRecords(&message, room, asked)
	if asked != nil && asked.Heads[factsDigest] != message.Heads[factsDigest] {
		room = g.addColdFacts(&message, room)
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
		heads[factsDigest] = g.digest()
	}
	return heads
}

// digest is equal on hosts that have the same facts; suspicions come and go too fast to count.
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

// hot reports whether the fact is critical and still to be passed on ahead of its turn.
func (f *fact) hot() bool {
	return critical[f.Kind] && f.sent < hotSends
}

func (g *Gossiper) sortedFacts(want func(*fact) bool) []*fact {
	var found []*fact
	for _, f := range g.facts {
		if want(f) {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b *fact) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return found
}

// addHotFacts adds critical news also beyond the room, which the budget pays back, and one fact however large.
func (g *Gossiper) addHotFacts(message *Message, room int) int {
	for _, f := range g.sortedFacts((*fact).hot) {
		if room -= f.bytes(); room < -maxOverdraw && len(message.Facts) > 0 {
			return room
		}
		f.sent++
		message.Facts = append(message.Facts, f.Fact)
	}
	return room
}

// addColdFacts adds old facts by turns for a host that has others; critical ones may exceed the room as hot ones do.
func (g *Gossiper) addColdFacts(message *Message, room int) int {
	for _, f := range g.sortedFacts(func(f *fact) bool { return !f.hot() }) {
		least := 0
		if critical[f.Kind] {
			least = -maxOverdraw
		}
		if room-f.bytes() < least && len(message.Facts) > 0 {
			continue
		}
		room -= f.bytes()
		f.sent++
		message.Facts = append(message.Facts, f.Fact)
	}
	return room
}

// addRecords adds what the asking host lacks, or records that have hardly been passed on.
func (g *Gossiper) addRecords(message *Message, room int, asked *Message) int {
	for s, t := range g.tails {
		var lacking []Record
		if asked != nil {
			lacking = t.after(asked.Heads[s])
		}
		for _, r := range t.records {
			if asked == nil && t.sent[r.Offset] < hotSends {
				lacking = append(lacking, r)
			}
		}
		for _, r := range lacking {
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

// addMembers adds members whose suspicion is over, then others by turns, each newest heartbeat a few times only.
func (g *Gossiper) addMembers(message *Message, room int) {
	for _, id := range g.order {
		if m := g.members[id]; m.back && !m.tell(message, &room) {
			return
		}
	}
	for range g.order {
		g.turn = (g.turn + 1) % len(g.order)
		if m := g.members[g.order[g.turn]]; !m.back && !m.tell(message, &room) {
			return
		}
	}
}
