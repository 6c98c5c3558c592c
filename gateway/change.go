package gateway

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// announceChanges tells other hosts of changes in this host's loads soon after they happen, until the gateway stops.
func (g *Gateway) announceChanges() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.queue.changed:
		}
		g.peers.mutex.Lock()
		interval, delay := g.peers.announcer.ChangeInterval(), g.peers.announcer.ReportDelay()
		g.peers.mutex.Unlock()
		if interval > 0 && !g.without.Changes {
			g.sendChange(time.Now(), delay)
		}
		repeater.Sleep(g.ctx, max(interval, announcer.MinChangeInterval))
	}
}

// sendChange sends other hosts what has changed since the last digest or change, which they learn after the delay.
func (g *Gateway) sendChange(now time.Time, delay time.Duration) {
	var change scheduler.Change
	changed := false
	g.queue.access(func(now time.Time, s *scheduler.Scheduler) {
		s.ReportDelay = delay
		if changed = s.HasChanged(); changed {
			change = s.TakeChange(now)
		}
	})
	if !changed {
		return
	}
	g.peers.mutex.Lock()
	m := g.peers.identity.NextChange(g.peers.self().ID)
	targets := g.peers.announcer.ChangeTargets(now)
	g.peers.mutex.Unlock()
	m.Loads, m.Waiting, m.DeadEndpoints = announcedLoads(change.Loads), announcedWaiting(change.Waiting), change.DeadEndpoints
	if len(g.unreachableServices()) > 0 {
		// An endpoint that this host can't reach may well be sound.
		m.DeadEndpoints = nil
	}
	g.sendTo(targets, m)
}

// handleChange updates what is known of another host's loads.
func (g *Gateway) handleChange(m announcer.Change) {
	g.peers.mutex.Lock()
	fresh := g.peers.announcer.ReceiveChange(m)
	g.peers.mutex.Unlock()
	if !fresh {
		g.metrics.Inc("changes-outdated")
		return
	}
	change := scheduler.Change{Loads: reportedLoads(m.Loads), Waiting: reportedWaiting(m.Waiting), DeadEndpoints: m.DeadEndpoints}
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.ApplyChange(now, m.Host, change) })
}
