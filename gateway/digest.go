package gateway

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// sendDigest sends this host's digest to some of the peers.
func (g *Gateway) sendDigest(now time.Time, state announcer.State) {
	d := g.digest(now, state)
	g.peers.mutex.Lock()
	d.Brief = state != announcer.Left && g.peers.announcer.Brief(d.Sequence)
	targets := g.peers.announcer.Targets(now, d)
	g.peers.mutex.Unlock()
	g.addUsageAndCrashes(now, &d)
	g.sendTo(targets, d)
}

// announceToReaders sends this host's digest to the hosts that read the store, or would if this one can't reach it.
func (g *Gateway) announceToReaders() {
	now := time.Now()
	d := g.digest(now, g.hostState())
	g.addUsageAndCrashes(now, &d)
	var targets []dotterelpulley.Address
	for _, m := range g.otherReaders(now) {
		targets = append(targets, m.PeerAddress)
	}
	g.sendTo(targets, d)
}

// digest returns this host's next digest, without usage and crashes.
func (g *Gateway) digest(now time.Time, state announcer.State) announcer.Digest {
	d := announcer.Digest{Host: g.peers.self(), State: state, StoreUnreachable: g.storeAccess.isLost(now)}
	if t := g.table.Load(); t != nil {
		d.Configuration = t.Version
	}
	d.LeavingInstances = g.leaving.reported(now)
	d.Rollouts = g.promotions.report(now)
	g.addLimits(now, &d)
	d.UnreachableServices = g.unreachableServices()
	g.queue.access(func(now time.Time, s *scheduler.Scheduler) {
		addReport(&d, s.HostReport(now))
	})
	if len(d.UnreachableServices) > 0 {
		// An endpoint that this host can't reach may well be sound.
		d.DeadEndpoints = nil
	}
	g.peers.mutex.Lock()
	defer g.peers.mutex.Unlock()
	g.peers.identity.Sequence++
	d.Updates = g.peers.announcer.NextUpdates()
	d.Start, d.Incarnation, d.Sequence = g.peers.identity.Start, g.peers.identity.Incarnation, g.peers.identity.Sequence
	return d
}

// addReport adds the scheduler's report to the digest.
func addReport(d *announcer.Digest, report scheduler.HostReport) {
	d.Loads, d.Waiting = announcedLoads(report.Loads), announcedWaiting(report.Waiting)
	for _, p := range report.Paces {
		d.Paces = append(d.Paces, announcer.Pace(p))
	}
	d.DeadEndpoints = report.DeadEndpoints
}

// reportOf returns the scheduler's report in another host's digest.
func reportOf(d announcer.Digest) scheduler.HostReport {
	report := scheduler.HostReport{Loads: reportedLoads(d.Loads), Waiting: reportedWaiting(d.Waiting), DeadEndpoints: d.DeadEndpoints}
	for _, p := range d.Paces {
		report.Paces = append(report.Paces, scheduler.Pace(p))
	}
	return report
}

func announcedLoads(loads []scheduler.Load) (announced []announcer.Load) {
	for _, l := range loads {
		announced = append(announced, announcer.Load{Key: l.Key, Running: l.Running, PromptTokens: l.Prompt})
	}
	return announced
}

func reportedLoads(announced []announcer.Load) (loads []scheduler.Load) {
	for _, l := range announced {
		loads = append(loads, scheduler.Load{Key: l.Key, Running: l.Running, Prompt: l.PromptTokens})
	}
	return loads
}

func announcedWaiting(counts []scheduler.WaitingCount) (announced []announcer.Waiting) {
	for _, waiting := range counts {
		announced = append(announced, announcer.Waiting{
			Service: waiting.Service, Priority: int(waiting.Priority), Rank: int(waiting.Rank), Count: waiting.Count, Oldest: waiting.Oldest,
		})
	}
	return announced
}

func reportedWaiting(announced []announcer.Waiting) (counts []scheduler.WaitingCount) {
	for _, waiting := range announced {
		counts = append(counts, scheduler.WaitingCount{
			Service: waiting.Service, Count: waiting.Count, Oldest: waiting.Oldest,
			Urgency: scheduler.Urgency{Priority: scheduler.Priority(waiting.Priority), Rank: scheduler.Priority(waiting.Rank)},
		})
	}
	return counts
}

// addUsageAndCrashes adds the usage of organisations on this host, the crashes that it observed and what it knows of parts.
func (g *Gateway) addUsageAndCrashes(now time.Time, d *announcer.Digest) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if d.Brief {
		d.Usage = announcedUsage(g.rationer.RecentUsage(now, recentUsageTime))
	} else {
		report := g.rationer.Report(now)
		d.Usage, d.Counted = announcedUsage(report.Usage), report.Counted
	}
	g.addIsolations(now, d)
}

func announcedUsage(usage map[dotterelpulley.OrganisationID]rationer.Amount) map[dotterelpulley.OrganisationID]float64 {
	announced := make(map[dotterelpulley.OrganisationID]float64, len(usage))
	for id, amount := range usage {
		announced[id] = float64(amount)
	}
	return announced
}

func reportedUsage(announced map[dotterelpulley.OrganisationID]float64) map[dotterelpulley.OrganisationID]rationer.Amount {
	usage := make(map[dotterelpulley.OrganisationID]rationer.Amount, len(announced))
	for id, amount := range announced {
		usage[id] = rationer.Amount(amount)
	}
	return usage
}
