package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// datagramLimit is the largest digest; a datagram over loopback or Ethernet may be larger.
	datagramLimit = 32 << 10
	// crashTold is how long each crash is told, some times the loss of a few datagrams.
	crashTold = 5 * time.Second
	// mostCrashes bounds the crashes that a digest tells of.
	mostCrashes = 64
)

// peers exchanges digests with the other hosts.
type peers struct {
	mutex       sync.Mutex
	announcer   announcer.Announcer
	conn        *net.UDPConn
	incarnation uint64
	sequence    uint64
	wake        chan struct{}
}

// seenCrash is a crash that this host saw itself.
type seenCrash struct {
	announcer.Crash
	at time.Time
}

func (p *peers) init(s platform.Settings, seed uint64) {
	address := func(ip netip.Addr) dotterelpulley.Address {
		return dotterelpulley.Address(netip.AddrPortFrom(ip, s.FirstPeerPort).String())
	}
	p.announcer = announcer.Announcer{
		Self: announcer.Host{ID: s.Host, Zone: s.Zone, PeerAddress: address(s.IP), CallerAddress: s.CallerAddress},
		Seed: seed,
	}
	p.incarnation = seed
	p.wake = make(chan struct{}, 1)
	for _, one := range s.Seeds {
		if at, err := netip.ParseAddrPort(string(one)); err == nil {
			p.announcer.AddSeed(address(at.Addr()))
		}
	}
}

func (g *Gateway) openPeers() error {
	at, err := netip.ParseAddrPort(string(g.peers.announcer.Self.PeerAddress))
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	g.peers.conn = conn
	return nil
}

func (p *peers) close() error {
	if p.conn == nil {
		return nil
	}
	return p.conn.Close()
}

func (p *peers) self() announcer.Host {
	return p.announcer.Self
}

func (p *peers) known() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.HeardCount()
}

// expected is how many hosts there may be.
func (p *peers) expected() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.ExpectedCount()
}

// silence is the time after which a host that was not heard counts as silent.
func (p *peers) silence() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.SilenceTimeout()
}

func (p *peers) live(now time.Time) []announcer.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.ActiveMembers(now)
}

func (p *peers) named(h announcer.Host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.announcer.AddHost(time.Now(), h)
}

// hurry sends the next digest at once.
func (p *peers) hurry() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// announce sends digests until the gateway ends.
func (g *Gateway) announce() {
	ticker := time.NewTicker(announcer.Interval)
	defer ticker.Stop()
	for {
		g.sendDigest(time.Now(), g.state())
		select {
		case <-g.ctx.Done():
			g.sendDigest(time.Now(), announcer.Left)
			return
		case <-g.peers.wake:
		case <-ticker.C:
		}
	}
}

// state is what this host says of itself.
func (g *Gateway) state() announcer.State {
	switch {
	case g.drain.begun():
		return announcer.Draining
	case g.ready(time.Now()):
		return announcer.Serving
	default:
		return announcer.Starting
	}
}

func (g *Gateway) sendDigest(now time.Time, state announcer.State) {
	d := announcer.Digest{Host: g.peers.self(), Incarnation: g.peers.incarnation, State: state}
	if t := g.table.Load(); t != nil {
		d.Configuration = t.Version
	}
	d.StoreUnreachable = g.reading.isLost(now)
	g.queue.note(func(now time.Time, s *scheduler.Scheduler) {
		tellWord(&d, s.HostReport(now))
	})
	g.peers.mutex.Lock()
	g.peers.sequence++
	d.Sequence = g.peers.sequence
	d.Brief = state != announcer.Left && g.peers.announcer.Brief(d.Sequence)
	targets := g.peers.announcer.Targets(now, d)
	g.peers.mutex.Unlock()
	if !d.Brief {
		g.tellUse(now, &d)
	}
	data := d.Encode()
	for _, target := range targets {
		at, err := netip.ParseAddrPort(string(target))
		if err != nil {
			g.event(log.WarnLevel, "peer-address").Str("address", string(target)).Err(err).Msg("")
			continue
		}
		if _, err := g.peers.conn.WriteToUDPAddrPort(data, at); err != nil {
			g.metrics.Inc("digests-unsent")
		}
	}
}

// tellWord adds the scheduler's word.
func tellWord(d *announcer.Digest, w scheduler.HostReport) {
	for _, l := range w.Loads {
		d.Loads = append(d.Loads, announcer.Load{Key: l.Key, Running: l.Running, PromptTokens: l.Prompt})
	}
	for _, one := range w.Waiting {
		d.Waiting = append(d.Waiting, announcer.Waiting{
			Service: one.Service, Priority: int(one.Priority), Rank: int(one.Rank), Count: one.Count,
		})
	}
	d.DeadEndpoints = w.DeadEndpoints
}

// wordOf returns the word of a scheduler in another host's digest.
func wordOf(d announcer.Digest) scheduler.HostReport {
	w := scheduler.HostReport{DeadEndpoints: d.DeadEndpoints}
	for _, l := range d.Loads {
		w.Loads = append(w.Loads, scheduler.Load{Key: l.Key, Running: l.Running, Prompt: l.PromptTokens})
	}
	for _, one := range d.Waiting {
		w.Waiting = append(w.Waiting, scheduler.WaitingCount{
			Service: one.Service, Count: one.Count,
			Urgency: scheduler.Urgency{Priority: scheduler.Priority(one.Priority), Rank: scheduler.Priority(one.Rank)},
		})
	}
	return w
}

// tellUse adds what the organisations used here and the crashes that this host saw.
func (g *Gateway) tellUse(now time.Time, d *announcer.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	d.Usage = make(map[dotterelpulley.OrganisationID]announcer.Usage)
	for id, use := range g.rations.LocalUsage(now) {
		d.Usage[id] = announcer.Usage{Admitted: float64(use.Admitted), Level: float64(use.Level)}
	}
	for _, c := range g.crashes {
		d.Crashes = append(d.Crashes, c.Crash)
	}
}

// hear takes the digests of other hosts until the gateway ends.
func (g *Gateway) hear() {
	buffer := make([]byte, datagramLimit)
	for {
		n, _, err := g.peers.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A target that is down answers with an error on the shared socket.
			g.metrics.Inc("digests-unread")
			continue
		}
		d, err := announcer.Decode(buffer[:n])
		if err != nil {
			g.metrics.Inc("digests-unreadable")
			continue
		}
		g.heard(time.Now(), d)
	}
}

func (g *Gateway) heard(now time.Time, d announcer.Digest) {
	g.peers.mutex.Lock()
	news, back := g.peers.announcer.Receive(now, d)
	g.peers.mutex.Unlock()
	if !news {
		return
	}
	if back {
		g.event(log.InfoLevel, "host-heard").Str("peer", string(d.ID)).Uint64("incarnation", d.Incarnation).
			Str("state", d.State.String()).Msg("")
		g.peers.hurry()
	}
	g.queue.update(func(now time.Time, s *scheduler.Scheduler) { s.SetHostReport(now, d.ID, wordOf(d)) })
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !d.Brief {
		used := make(map[dotterelpulley.OrganisationID]rationer.Usage, len(d.Usage))
		for id, use := range d.Usage {
			used[id] = rationer.Usage{Admitted: rationer.Amount(use.Admitted), Level: rationer.Amount(use.Level)}
		}
		g.rations.RecordPeerUsage(now, d.ID, d.Incarnation, used)
	}
	if d.State == announcer.Left {
		g.rations.RemoveHost(d.ID)
	}
	for _, c := range d.Crashes {
		g.isolation.AddCrash(isolator.Crash{
			Fingerprint: isolator.Fingerprint(c.Fingerprint), Attempt: isolator.AttemptID(c.Attempt),
			Endpoint: dotterelpulley.EndpointID(fmt.Sprintf("%08x", c.Endpoint)), Started: now, At: now,
		})
	}
}

// died notes an endpoint's crash; the mutex is held.
func (g *Gateway) died(now time.Time, id dotterelpulley.EndpointID) {
	for _, d := range g.isolation.EndpointCrashed(now, id) {
		g.crashes = append(g.crashes, seenCrash{at: now, Crash: announcer.Crash{
			Fingerprint: uint64(d.Fingerprint), Attempt: uint64(d.Attempt), Endpoint: scheduler.EndpointKey(id),
		}})
	}
	g.crashes = g.crashes[max(len(g.crashes)-mostCrashes, 0):]
}

func (g *Gateway) forgetCrashes(now time.Time) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c seenCrash) bool { return now.Sub(c.at) > crashTold })
}

// place returns this host's place among all live hosts, by id.
func (p *peers) place(now time.Time) int {
	place := 0
	for _, m := range p.live(now) {
		if m.ID < p.announcer.Self.ID {
			place++
		}
	}
	return place
}
