package rationer

import (
	"maps"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// peer is what this host knows of another host's usage.
type peer struct {
	incarnation uint64
	lastReport  time.Time
	lastCharged time.Time
	// usage is what each organisation has used on the host since its start, as of the last report.
	usage map[dotterelpulley.OrganisationID]Amount
	// assumedUsage is the amount charged on the peer's behalf while it was silent.
	assumedUsage map[dotterelpulley.OrganisationID]Amount
}

// RecordPeerUsage processes another host's report of what each organisation has used on it since its start.
func (r *Rationer) RecordPeerUsage(now time.Time, id dotterelpulley.HostID, incarnation uint64, usage map[dotterelpulley.OrganisationID]Amount) {
	r.init(now)
	p, ok := r.peers[id]
	if !ok || p.incarnation != incarnation {
		// Usage of an unknown host before its first report is not charged; a restarted host counts from zero.
		baseline := usage
		if ok {
			baseline = nil
		}
		p = &peer{incarnation: incarnation, lastReport: now, usage: baseline, assumedUsage: map[dotterelpulley.OrganisationID]Amount{}}
		r.peers[id] = p
	}
	for organisation, reported := range usage {
		_, known := r.accounts[organisation]
		a := r.account(organisation)
		if !known {
			// This host may hear of the organisation before it has the configuration.
			continue
		}
		increase := reported - p.usage[organisation]
		a.addSince(p.lastReport, now, increase-p.assumedUsage[organisation])
		a.reported.add(now, float64(increase))
	}
	r.reportedTime.add(now, now.Sub(p.lastReport).Seconds())
	clear(p.assumedUsage)
	p.usage, p.lastReport, p.lastCharged = usage, now, now
}

// RecordPeerChanges processes another host's report that leaves out organisations whose usage has not changed lately. It
// reports false for a start of the host that has sent no complete report yet.
func (r *Rationer) RecordPeerChanges(now time.Time, id dotterelpulley.HostID, incarnation uint64, changes map[dotterelpulley.OrganisationID]Amount) bool {
	p, ok := r.peers[id]
	if !ok || p.incarnation != incarnation {
		return false
	}
	usage := maps.Clone(p.usage)
	if usage == nil {
		usage = map[dotterelpulley.OrganisationID]Amount{}
	}
	maps.Copy(usage, changes)
	r.RecordPeerUsage(now, id, incarnation, usage)
	return true
}

func (r *Rationer) silenceTimeout() time.Duration {
	if r.SilenceTimeout > 0 {
		return r.SilenceTimeout
	}
	return defaultSilenceTimeout
}

// chargeSilentHosts charges an equal share of each cap for every host that has stopped reporting but may still serve requests.
func (r *Rationer) chargeSilentHosts(now time.Time) {
	r.chargeUnseenHosts(now)
	for id, p := range r.peers {
		silent := now.Sub(p.lastReport)
		if silent > max(forgetAfter, silencesUntilForgotten*r.silenceTimeout()) {
			delete(r.peers, id)
			continue
		}
		if silent < r.silenceTimeout() || !r.uses(SilentCharges) {
			continue
		}
		since := p.lastCharged
		p.lastCharged = now
		for organisation, a := range r.accounts {
			if !a.capped {
				continue
			}
			amount := a.evenRate() * Amount(now.Sub(since).Seconds()) / Amount(len(r.peers)+1)
			a.addSince(since, now, amount)
			p.assumedUsage[organisation] += amount
		}
	}
}

// chargeUnseenHosts charges an equal share of each cap for every host that has not reported since this host's start.
//
// Otherwise each host would use the whole cap after a restart of all hosts, until the first reports arrive.
func (r *Rationer) chargeUnseenHosts(now time.Time) {
	since := r.unseenChargedAt
	r.unseenChargedAt = now
	missing := r.HostCount - 1 - len(r.peers)
	if missing <= 0 || !r.uses(UnseenCharges) || r.known(now) >= r.window() {
		return
	}
	for _, a := range r.accounts {
		a.addSince(since, now, a.Rate*Amount(now.Sub(since).Seconds())*Amount(missing)/Amount(r.HostCount))
	}
}

// RemoveHost removes a host that has signed off and no longer admits requests.
func (r *Rationer) RemoveHost(id dotterelpulley.HostID) {
	delete(r.peers, id)
}
