package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// datagramLimit is the largest size of a digest; a datagram over loopback or Ethernet may be larger.
	datagramLimit = 32 << 10
	// recentUsageTime is how long after its last change an organisation's usage stays in brief digests, longer than it takes
	// for most hosts of a large fleet to get one of them.
	recentUsageTime = 5 * time.Second
)

// peers exchanges digests with the other hosts.
type peers struct {
	mutex     sync.Mutex
	announcer announcer.Announcer
	identity  announcer.Identity
	conn      *net.UDPConn
	wake      chan struct{}
	// unreadable holds the parts that have been logged as unreadable; only the receiving goroutine uses it.
	unreadable map[unreadableKey]bool
}

func (p *peers) configure(s platform.Settings, seed uint64) {
	address := func(ip netip.Addr) dotterelpulley.Address {
		return dotterelpulley.Address(netip.AddrPortFrom(ip, s.FirstPeerPort).String())
	}
	p.announcer = announcer.Announcer{
		Self: announcer.Host{ID: s.Host, Zone: s.Zone, PeerAddress: address(s.IP), CallerAddress: s.CallerAddress},
		Seed: seed,
	}
	p.identity = announcer.Identity{Start: seed, Incarnation: 1}
	p.wake = make(chan struct{}, 1)
	for _, seedAddress := range s.Seeds {
		if at, err := netip.ParseAddrPort(string(seedAddress)); err == nil {
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

// knownHosts returns how many hosts have been heard from, including this one.
func (p *peers) knownHosts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.HeardCount()
}

// expectedHosts returns how many hosts there may be, including those not heard from yet.
func (p *peers) expectedHosts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.ExpectedCount()
}

// possibleHosts returns how many hosts may be sending requests, including this one and those that this one doesn't reach.
func (p *peers) possibleHosts(now time.Time) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.PossibleCount(now)
}

// silenceLimit returns the time without a digest after which a host counts as silent.
func (p *peers) silenceLimit() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.SilenceTimeout()
}

// liveHosts returns the other hosts that were heard from recently and haven't left, ordered by id.
func (p *peers) liveHosts(now time.Time) []announcer.Member {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.ActiveMembers(now)
}

func (p *peers) addHost(h announcer.Host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.announcer.AddHost(time.Now(), h)
}

// sendNow sends the next digest at once.
func (p *peers) sendNow() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// announceState sends digests until the gateway stops.
func (g *Gateway) announceState() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.ctx.Done():
			g.sendDigest(time.Now(), announcer.Left)
			return
		case <-g.peers.wake:
		case <-timer.C:
		}
		g.refreshAllowances(time.Now())
		g.sendDigest(time.Now(), g.hostState())
		timer.Reset(g.peers.interval())
	}
}

// interval returns the time until the next digest.
func (p *peers) interval() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.announcer.Interval()
}

// hostState returns the state that this host reports.
func (g *Gateway) hostState() announcer.State {
	switch {
	case g.drain.started():
		return announcer.Draining
	case g.ready(time.Now()):
		return announcer.Serving
	default:
		return announcer.Starting
	}
}

// sendTo sends a message to peers.
func (g *Gateway) sendTo(targets []dotterelpulley.Address, m announcer.Message) {
	data := m.Encode()
	g.countMessageBytes(targets, m, len(data))
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

// receiveDigests handles digests of other hosts until the gateway stops.
func (g *Gateway) receiveDigests() {
	buffer := make([]byte, datagramLimit)
	for {
		n, from, err := g.peers.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// After a digest is sent to a host that is down, reading the shared socket may fail.
			g.metrics.Inc("digests-unread")
			continue
		}
		message, err := announcer.Decode(buffer[:n])
		if err != nil {
			g.metrics.Inc("digests-unreadable")
			continue
		}
		switch m := message.(type) {
		case announcer.Digest:
			g.reportUnreadable(m)
			g.handleDigest(time.Now(), dotterelpulley.Address(from.String()), m)
		case announcer.Change:
			g.handleChange(m)
		case announcer.Correction:
			g.handleCorrection(m)
		case announcer.Probe:
			g.handleProbe(dotterelpulley.Address(from.String()), m)
		case announcer.Ack:
			g.handleAck(time.Now(), m)
		case announcer.HistoryRequest:
			g.sendHistory(time.Now(), dotterelpulley.Address(from.String()))
		case announcer.UsageHistory:
			g.adoptHistory(time.Now(), m)
		}
	}
}

func (g *Gateway) handleDigest(now time.Time, from dotterelpulley.Address, d announcer.Digest) {
	g.peers.mutex.Lock()
	fresh, returned := g.peers.announcer.Receive(now, d)
	correction, outdated := g.peers.announcer.Correct(d)
	refute := fresh && g.peers.announcer.ReceiveUpdates(now, d.Updates, g.peers.identity)
	if refute {
		g.peers.identity.Refute()
	}
	g.peers.mutex.Unlock()
	if refute {
		g.metrics.Inc("suspicions-refuted")
		g.peers.sendNow()
	}
	if !fresh {
		if outdated {
			g.sendTo([]dotterelpulley.Address{from}, correction)
		}
		return
	}
	if returned {
		g.event(log.InfoLevel, "host-heard").Str("peer", string(d.ID)).Uint64("incarnation", d.Incarnation).
			Str("state", d.State.String()).Msg("")
		g.peers.sendNow()
	}
	g.markLeaving(now, d.LeavingInstances)
	g.receiveIsolations(now, d)
	g.learnRollouts(now, d.Rollouts)
	g.learnLimits(now, d)
	g.catchUp(d)
	g.requestHistory(now, from, d)
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.SetHostReport(now, d.ID, reportOf(d)) })
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if d.Brief {
		g.rationer.RecordPeerChanges(now, d.ID, d.Start, reportedUsage(d.Usage))
	} else {
		g.rationer.RecordPeerUsage(now, d.ID, d.Start, rationer.Report{Usage: reportedUsage(d.Usage), Counted: d.Counted})
	}
	if d.State == announcer.Left {
		g.rationer.RemoveHost(d.ID)
	}
}

// position returns this host's position among all live hosts, ordered by id.
func (p *peers) position(now time.Time) int {
	position := 0
	for _, m := range p.liveHosts(now) {
		if m.ID < p.announcer.Self.ID {
			position++
		}
	}
	return position
}
