package announcer

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// ProbeInterval is the time between two probes of a host. Each host probes one member at a time, so that each member is
	// probed about once in this time, however large the fleet is.
	ProbeInterval = 150 * time.Millisecond
	// directTimeout is the time for the answer to a probe after which other hosts are asked to probe the member.
	directTimeout = ProbeInterval
	// probeTimeout is the time after which a member that hasn't answered any probe is suspected.
	probeTimeout = 2 * ProbeInterval
	// indirectProbes is the number of hosts that are asked to probe a member.
	indirectProbes = 3
	// suspicionTimeout is the time that a suspected member has to refute the suspicion before it counts as failed.
	suspicionTimeout = 700 * time.Millisecond
	// pauseThreshold is the time between two probes from which on this host itself was held up, so that missing answers say
	// nothing of the members.
	pauseThreshold = 3 * ProbeInterval
	// alarmSuspicions is the number of fresh suspicions from which on a host sends alarmProbes instead of one probe at a time,
	// as many hosts may have failed at once.
	alarmSuspicions = 3
	alarmProbes     = 16
	// maxUpdates is the number of updates in a digest.
	maxUpdates = 64
	// updateRepeats times the logarithm of the fleet's size is how often a host passes on an update.
	updateRepeats = 2
)

// Health is what the failure detector believes of a member.
type Health int

// The states of a member's health.
const (
	// Healthy members answer, or haven't been probed yet.
	Healthy Health = iota
	// Suspected members haven't answered lately, and may refute it.
	Suspected
	// Failed members haven't refuted the suspicion in time.
	Failed
)

// Update is news of a member's health that hosts pass on with their digests.
type Update struct {
	Host dotterelpulley.HostID
	// Incarnation is the one that the news is about; only news of a higher one, from the member itself, overrides a suspicion.
	Incarnation uint64
	Suspected   bool
}

// Outgoing is a message to be sent to an address.
type Outgoing struct {
	To dotterelpulley.Address
	Message
}

// detector is a failure detector of the SWIM kind: random probes, indirect ones through other hosts, suspicions that spread
// with the digests, and refutations under a higher incarnation.
type detector struct {
	random *rand.Rand
	// order is the rest of the current round of members to probe.
	order  []dotterelpulley.HostID
	probes map[uint64]*probe
	number uint64
	// lastProbe is when the last probe was due.
	lastProbe time.Time
	suspected map[dotterelpulley.HostID]suspicion
	updates   []spreading
}

type probe struct {
	target   dotterelpulley.HostID
	sentAt   time.Time
	indirect bool
}

type suspicion struct {
	since       time.Time
	incarnation uint64
}

// spreading is an update with the number of digests that are still to carry it.
type spreading struct {
	Update
	repeats int
}

func (d *detector) init(seed uint64) {
	if d.probes == nil {
		d.random = rand.New(rand.NewPCG(seed, 2))
		d.probes = map[uint64]*probe{}
		d.suspected = map[dotterelpulley.HostID]suspicion{}
	}
}

// Health returns what is believed of the member.
func (a *Announcer) Health(now time.Time, id dotterelpulley.HostID) Health {
	s, ok := a.suspected[id]
	switch {
	case !ok:
		return Healthy
	case now.Sub(s.since) < suspicionTimeout:
		return Suspected
	default:
		return Failed
	}
}

// Probe returns the messages by which this host checks on the members; call it once in each ProbeInterval. In a fleet whose
// hosts all hear every digest there are none.
func (a *Announcer) Probe(now time.Time) []Outgoing {
	a.init()
	if len(a.members) <= fullMeshLimit {
		return nil
	}
	if held := now.Sub(a.lastProbe); !a.lastProbe.IsZero() && held > pauseThreshold {
		a.forgive(held)
	}
	a.lastProbe = now
	messages := a.followUp(now)
	for range a.probesDue(now) {
		target, ok := a.nextTarget(now)
		if !ok {
			break
		}
		a.number++
		a.probes[a.number] = &probe{target: target, sentAt: now}
		messages = append(messages, a.probeOf(a.number, target, a.members[target].PeerAddress))
	}
	return messages
}

// probesDue returns the number of members to probe.
func (a *Announcer) probesDue(now time.Time) int {
	fresh := 0
	for id := range a.suspected {
		if a.Health(now, id) == Suspected {
			fresh++
		}
	}
	if fresh >= alarmSuspicions {
		return alarmProbes
	}
	return 1
}

// forgive makes up for the time in which this host itself was held up.
func (a *Announcer) forgive(held time.Duration) {
	clear(a.probes)
	for id, s := range a.suspected {
		s.since = s.since.Add(held)
		a.suspected[id] = s
	}
}

// followUp asks others to probe the members that haven't answered yet, and suspects those that have answered nobody.
func (a *Announcer) followUp(now time.Time) []Outgoing {
	var messages []Outgoing
	for number, p := range a.probes {
		m, ok := a.members[p.target]
		waited := now.Sub(p.sentAt)
		switch {
		case !ok || m.LastHeard.After(p.sentAt):
			delete(a.probes, number)
		case waited >= probeTimeout:
			delete(a.probes, number)
			a.suspect(now, p.target, m.Incarnation)
		case waited >= directTimeout && !p.indirect:
			p.indirect = true
			for _, through := range a.draw(now, indirectProbes, p.target) {
				messages = append(messages, a.probeOf(number, p.target, a.members[through].PeerAddress))
			}
		}
	}
	return messages
}

func (a *Announcer) probeOf(number uint64, target dotterelpulley.HostID, to dotterelpulley.Address) Outgoing {
	return Outgoing{To: to, Message: Probe{Number: number, Origin: a.Self.PeerAddress, Target: a.members[target].PeerAddress}}
}

// probed reports whether the member takes part in the probing.
func (a *Announcer) probed(now time.Time, id dotterelpulley.HostID) bool {
	m, ok := a.members[id]
	return ok && !m.LastHeard.IsZero() && m.State != Left && a.Health(now, id) != Failed
}

// nextTarget returns the next member of a random order in which each comes once.
func (a *Announcer) nextTarget(now time.Time) (dotterelpulley.HostID, bool) {
	for range 2 {
		for len(a.order) > 0 {
			id := a.order[0]
			a.order = a.order[1:]
			if a.probed(now, id) {
				return id, true
			}
		}
		a.order = a.draw(now, len(a.members), "")
	}
	return "", false
}

// draw returns some of the members that take part in the probing, except one, in random order.
func (a *Announcer) draw(now time.Time, count int, except dotterelpulley.HostID) []dotterelpulley.HostID {
	var ids []dotterelpulley.HostID
	for id := range a.members {
		if id != except && a.probed(now, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	a.detector.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}

// ReceiveAck records a member's answer to a probe.
func (a *Announcer) ReceiveAck(now time.Time, ack Ack) {
	a.init()
	p, ok := a.probes[ack.Number]
	if !ok || p.target != ack.Host {
		return
	}
	delete(a.probes, ack.Number)
	if m, ok := a.members[ack.Host]; ok {
		m.LastHeard = now
	}
	a.cleared(ack.Host, ack.Incarnation)
}

// suspect records a suspicion and passes it on, unless it is known or refuted.
func (a *Announcer) suspect(now time.Time, id dotterelpulley.HostID, incarnation uint64) {
	if known, ok := a.suspected[id]; ok && known.incarnation >= incarnation {
		return
	}
	a.suspected[id] = suspicion{since: now, incarnation: incarnation}
	a.spread(Update{Host: id, Incarnation: incarnation, Suspected: true})
}

// cleared ends the suspicion of a member that this host has heard itself, and tells the others.
func (a *Announcer) cleared(id dotterelpulley.HostID, incarnation uint64) {
	if _, ok := a.suspected[id]; !ok {
		return
	}
	delete(a.suspected, id)
	a.spread(Update{Host: id, Incarnation: incarnation})
}

// spread passes the update on with the next digests, in place of older ones of the member.
func (a *Announcer) spread(u Update) {
	a.updates = slices.DeleteFunc(a.updates, func(x spreading) bool { return x.Host == u.Host })
	a.updates = append(a.updates, spreading{u, updateRepeats * bits.Len(uint(len(a.members)))})
}

// NextUpdates returns the updates for this host's next digest, those first that the fewest digests have carried.
func (a *Announcer) NextUpdates() []Update {
	slices.SortStableFunc(a.updates, func(x, y spreading) int { return cmp.Compare(y.repeats, x.repeats) })
	var next []Update
	for i := range a.updates[:min(len(a.updates), maxUpdates)] {
		next = append(next, a.updates[i].Update)
		a.updates[i].repeats--
	}
	a.updates = slices.DeleteFunc(a.updates, func(x spreading) bool { return x.repeats <= 0 })
	return next
}

// ReceiveUpdates applies another host's updates; it reports true if they suspect this host under its incarnation, which then
// has to raise it.
func (a *Announcer) ReceiveUpdates(now time.Time, updates []Update, own Identity) (refute bool) {
	a.init()
	for _, u := range updates {
		if u.Host == a.Self.ID {
			refute = refute || u.Suspected && u.Incarnation >= own.Incarnation
			continue
		}
		m, ok := a.members[u.Host]
		if !ok || u.Incarnation < m.Incarnation {
			continue
		}
		known, suspected := a.suspected[u.Host]
		switch {
		case u.Suspected && now.Sub(m.LastHeard) > directTimeout:
			a.suspect(now, u.Host, u.Incarnation)
		case !u.Suspected && suspected && (u.Incarnation > known.incarnation || a.Health(now, u.Host) == Failed):
			a.cleared(u.Host, u.Incarnation)
		}
	}
	return refute
}
