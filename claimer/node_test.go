package claimer_test

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// node is a simulated entry host that drives one Claimer.
type node struct {
	w           *world
	id          dotterelpulley.HostID
	starts      int
	alive       bool
	pausedUntil time.Time
	logCutUntil time.Time
	// readLag delays what the node reads from the log.
	readLag  time.Duration
	nextTick time.Time
	core     *claimer.Claimer
	skew     time.Duration
	drift    float64
	ticket   claimer.Ticket
	requests map[claimer.Ticket]*requestCopy
}

// requestCopy is one copy of a request at a node.
type requestCopy struct {
	submit   claimer.Submit
	core     *claimer.Claimer
	attached []claimer.Ticket
	reply    func(answer)
	claimed  time.Time
	ended    bool
	answer   *answer
}

type answer struct {
	answered bool
	kind     dotterelpulley.ErrorKind
}

func (w *world) addNode(id dotterelpulley.HostID) {
	n := &node{w: w, id: id, skew: w.between(-150*time.Millisecond, 150*time.Millisecond), drift: 1 + (w.rand.Float64()-0.5)*0.002}
	w.nodes = append(w.nodes, n)
	n.startUp()
}

func (n *node) startUp() {
	n.starts++
	n.alive = true
	n.pausedUntil = time.Time{}
	n.requests = map[claimer.Ticket]*requestCopy{}
	n.newCore()
	n.w.after(2*time.Second, func() { n.w.listed[n.id] = n.alive })
	n.w.after(time.Second, func() { n.followHosts(n.starts) })
}

func (n *node) newCore() {
	n.core = &claimer.Claimer{
		Self: claimer.Member{
			Host:        n.id,
			Incarnation: dotterelpulley.Incarnation(fmt.Sprintf("%s-%d-%d", n.id, n.starts, n.w.now.Sub(n.w.start))),
			Peer:        dotterelpulley.Address(n.id),
		},
		Settings: n.w.settings(),
	}
	n.nextTick = time.Time{}
	n.tick(n.core)
	n.readRoster(n.clock(), 1)
}

func (w *world) settings() claimer.Settings {
	s := claimer.Settings{
		Lease:       20 * time.Second,
		LeaseGuard:  time.Second,
		KeyLifetime: time.Minute,
		ClockError:  2 * time.Second,
		HoldLimit:   2 * time.Second,
		Linger:      5 * time.Second,
		PauseLimit:  2 * time.Second,
		// Small enough for a late host to start from a snapshot.
		SnapshotEvery: 10,
	}
	if !w.profile.faults {
		s.Lease = 0
	}
	if w.profile.flaw == leaseUnchecked {
		s.LeaseGuard = -time.Hour
		s.PauseLimit = time.Hour
	}
	if w.profile.flaw == refusalsForgotten {
		s.ArrivalError = -time.Hour
	}
	return s
}

func (n *node) clock() time.Time {
	elapsed := n.w.now.Sub(n.w.start)
	return n.w.start.Add(time.Duration(float64(elapsed) * n.drift)).Add(n.skew)
}

// whenRunning runs f now, or when the node's pause ends; it drops f if the node has been restarted meanwhile.
func (n *node) whenRunning(f func()) {
	starts := n.starts
	if !n.alive {
		return
	}
	if n.w.now.Before(n.pausedUntil) {
		n.w.after(n.pausedUntil.Sub(n.w.now), func() {
			if n.starts == starts {
				n.whenRunning(f)
			}
		})
		return
	}
	f()
}

func (n *node) step(core *claimer.Claimer, e claimer.Event) {
	n.whenRunning(func() {
		if n.core != core {
			return
		}
		defer n.scheduleTick(core)
		if submit, ok := e.(claimer.Submit); ok {
			n.w.trace("%s submits %v", n.id, submit)
		}
		for _, a := range core.Step(n.clock(), e) {
			n.w.trace("%s %T %.300v", core.Self.Incarnation, a, a)
			n.act(core, a)
		}
	})
}

func (n *node) tick(core *claimer.Claimer) {
	starts := n.starts
	n.nextTick = time.Time{}
	n.step(core, claimer.Tick{})
	if n.starts != starts || n.core != core {
		return
	}
	n.whenRunning(func() { n.scheduleTick(core) })
}

// scheduleTick schedules the core's next tick.
func (n *node) scheduleTick(core *claimer.Claimer) {
	wait := max(core.NextTick().Sub(n.clock()), 10*time.Millisecond)
	at := n.w.now.Add(wait)
	if !n.nextTick.IsZero() && !at.Before(n.nextTick) {
		return
	}
	starts := n.starts
	n.nextTick = at
	n.w.after(wait, func() {
		if n.starts == starts && n.core == core && n.nextTick.Equal(at) {
			n.tick(core)
		}
	})
}

func (n *node) logUnavailable() bool {
	return within(n.w.log.outageWindows, n.w.now) || n.w.now.Before(n.logCutUntil)
}

func (n *node) followHosts(starts int) {
	if n.starts != starts || !n.alive {
		return
	}
	var hosts []dotterelpulley.HostID
	for id, listed := range n.w.listed {
		if listed {
			hosts = append(hosts, id)
		}
	}
	n.step(n.core, claimer.HostsListed{Hosts: hosts})
	n.w.after(2*time.Second, func() { n.followHosts(starts) })
}

func (n *node) readRoster(sentAt time.Time, from claimer.Offset) {
	core := n.core
	n.w.after(n.w.between(time.Millisecond, 5*time.Millisecond), func() {
		if n.logUnavailable() {
			return
		}
		records := n.w.log.roster[min(int(from)-1, len(n.w.log.roster)):]
		first := n.w.firstKeptRosterRecord()
		if len(records) > 0 && records[0].Offset < first {
			records = n.w.log.roster[first-1:]
		}
		read := claimer.RosterRead{SentAt: sentAt, Records: append([]claimer.StoredRosterRecord(nil), records...), AtEnd: true}
		n.w.after(n.readLag+n.w.between(time.Millisecond, 5*time.Millisecond), func() { n.step(core, read) })
	})
}

// firstKeptRosterRecord is the oldest roster record that the log still keeps.
func (w *world) firstKeptRosterRecord() claimer.Offset {
	const kept = 60
	return claimer.Offset(max(len(w.log.roster)-kept, 0) + 1)
}

func (n *node) readClaims(sentAt time.Time, from claimer.Offset) {
	core := n.core
	n.w.after(n.w.between(time.Millisecond, 5*time.Millisecond), func() {
		if n.logUnavailable() {
			return
		}
		records := n.w.log.claims[min(int(from)-1, len(n.w.log.claims)):]
		if n.w.profile.flaw == claimsUnread {
			records = nil
		}
		read := claimer.ClaimsRead{SentAt: sentAt, Records: append([]claimer.StoredClaimsRecord(nil), records...), AtEnd: true}
		n.w.after(n.readLag+n.w.between(time.Millisecond, 5*time.Millisecond), func() { n.step(core, read) })
	})
}

func (n *node) act(core *claimer.Claimer, action claimer.Action) {
	w := n.w
	switch a := action.(type) {
	case claimer.AppendRoster:
		w.appendRoster(n, a)
	case claimer.AppendClaims:
		w.appendClaims(n, a)
	case claimer.ReadRoster:
		n.readRoster(n.clock(), a.From)
	case claimer.ReadClaims:
		n.readClaims(n.clock(), a.From)
	case claimer.Ask:
		for _, m := range a.To {
			n.ask(core, m, a.Question)
		}
	case claimer.Enqueue:
		n.enqueue(core, a.Ticket)
	case claimer.Attach:
		n.attach(a)
	case claimer.Forward:
		n.forward(a)
	case claimer.Grant:
		if c, ok := n.requests[a.Ticket]; ok {
			w.waits[c.submit.Kind] = append(w.waits[c.submit.Kind], w.now.Sub(c.claimed))
		}
		w.after(w.between(0, 5*time.Millisecond), func() { n.dispatch(core, a.Ticket) })
	case claimer.Refuse:
		n.answer(a.Ticket, answer{kind: a.Kind})
	case claimer.HolderChanged:
		n.resubmit(a.Ticket)
	case claimer.DiscardAnswer:
	case claimer.Expelled:
		w.after(time.Millisecond, func() { n.whenRunning(n.newCore) })
	case claimer.SignedOff:
		n.stop()
	}
}

func (n *node) ask(core *claimer.Claimer, m claimer.Member, q claimer.Question) {
	peer := n.w.find(m)
	n.w.message(func() {
		peer.whenRunning(func() {
			if peer.core.Self.Incarnation != m.Incarnation {
				return
			}
			reply := peer.core.Answer(peer.clock(), q)
			n.w.message(func() { n.step(core, claimer.ReplyReceived{Reply: reply}) })
		})
	})
}

func (w *world) find(m claimer.Member) *node {
	for _, n := range w.nodes {
		if n.id == m.Host {
			return n
		}
	}
	panic("no node " + m.Host)
}

// message delivers f to a peer, sometimes late, and drops most messages while hosts are partitioned from each other.
func (w *world) message(f func()) {
	if w.now.Before(w.partitionedUntil) && w.chance(0.7) {
		return
	}
	latency := w.between(500*time.Microsecond, 3*time.Millisecond)
	if w.profile.faults && w.chance(0.03) {
		latency += w.between(0, 8*time.Second)
	}
	w.after(latency, f)
}
