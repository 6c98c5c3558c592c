package rationer

import (
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
	// unmeasured means that its only report doesn't tell since when it counts, so that the peer still counts as unseen.
	unmeasured bool
	// gone means that the peer has been silent for so long that it counts as ended.
	gone bool
}

// RecordPeerUsage processes another host's complete report.
func (r *Rationer) RecordPeerUsage(now time.Time, id dotterelpulley.HostID, incarnation uint64, report Report) {
	r.init(now)
	p, ok := r.peers[id]
	if !ok || p.incarnation != incarnation {
		r.peers[id] = r.meet(now, p, incarnation, report)
		return
	}
	for organisation, reported := range report.Usage {
		r.charge(now, p.lastReport, organisation, reported-p.usage[organisation], p.assumedUsage[organisation])
	}
	r.reportedTime.add(now, now.Sub(p.lastReport).Seconds())
	clear(p.assumedUsage)
	p.usage, p.lastReport, p.lastCharged, p.unmeasured, p.gone = report.Usage, now, now, false, false
}

// charge counts what an organisation has used on a peer since the time, less what has been assumed of it.
func (r *Rationer) charge(now, since time.Time, id dotterelpulley.OrganisationID, amount, assumed Amount) {
	a := r.account(id)
	a.addSince(since, now, amount-assumed)
	a.reported.add(now, float64(amount))
}

// meet processes the first report of a host's start; before is what is known of its previous start, if anything. What the host has
// used since this one began to count, or since its last report, is charged now: no other report tells it.
func (r *Rationer) meet(now time.Time, before *peer, incarnation uint64, report Report) *peer {
	p := &peer{incarnation: incarnation, lastReport: now, lastCharged: now, usage: report.Usage, assumedUsage: map[dotterelpulley.OrganisationID]Amount{}}
	unknownSince := r.startedAt
	if before != nil {
		unknownSince = before.lastReport
	}
	unknown := min(now.Sub(unknownSince), r.window())
	counted := report.Counted
	switch {
	case counted <= 0 && before == nil:
		p.unmeasured = r.known(now) < r.window()
		return p
	case counted <= 0:
		// A restarted host of an earlier build has used all of it since its restart.
		for organisation, amount := range report.Usage {
			r.charge(now, now.Add(-unknown), organisation, amount, 0)
		}
		r.reportedTime.add(now, unknown.Seconds())
		return p
	}
	part := min(unknown, counted)
	wasMissing := before == nil && r.missing() > 0
	for organisation := range report.Usage {
		assumed := Amount(0)
		switch {
		case before != nil:
			assumed = before.assumedUsage[organisation]
		case wasMissing && now.Sub(r.startedAt) < r.window():
			assumed = r.account(organisation).unseen
		}
		assumed *= Amount(part.Seconds() / max(unknown, 1).Seconds())
		r.charge(now, now.Add(-part), organisation, report.usedSince(organisation, part, r.window()), assumed)
	}
	r.reportedTime.add(now, part.Seconds())
	return p
}

// RecordPeerChanges processes another host's report that leaves out organisations whose usage has not changed lately. It
// reports false for a start of the host that has sent no complete report yet.
func (r *Rationer) RecordPeerChanges(now time.Time, id dotterelpulley.HostID, incarnation uint64, changes map[dotterelpulley.OrganisationID]Amount) bool {
	p, ok := r.peers[id]
	if !ok || p.incarnation != incarnation {
		return false
	}
	r.RecordPeerUsage(now, id, incarnation, Report{Usage: merge(p.usage, changes)})
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
	forgotten := max(forgetAfter, silencesUntilForgotten*r.silenceTimeout())
	sharers := 1
	for _, p := range r.peers {
		if !p.gone {
			sharers++
		}
	}
	for id, p := range r.peers {
		silent := now.Sub(p.lastReport)
		if silent > forgotten {
			// What it reports when it returns within the window is charged from its last report on.
			p.gone = true
			if silent > forgotten+r.window() {
				delete(r.peers, id)
			}
			continue
		}
		if silent < r.silenceTimeout() || p.unmeasured || !r.uses(SilentCharges) {
			continue
		}
		since := p.lastCharged
		p.lastCharged = now
		for organisation, a := range r.accounts {
			if !a.capped {
				continue
			}
			amount := a.evenRate() * Amount(now.Sub(since).Seconds()) / Amount(sharers)
			a.addSince(since, now, amount)
			p.assumedUsage[organisation] += amount
		}
	}
}

// missing returns the number of hosts that may exist and whose usage since this host's start is unknown.
func (r *Rationer) missing() int {
	missing := r.HostCount - 1
	for _, p := range r.peers {
		if !p.unmeasured && !p.gone {
			missing--
		}
	}
	return max(missing, 0)
}

// chargeUnseenHosts charges an equal share of each cap for every host that has not reported since this host's start.
//
// Otherwise each host would use the whole cap after a restart of all hosts, until the first reports arrive.
func (r *Rationer) chargeUnseenHosts(now time.Time) {
	since := r.unseenChargedAt
	r.unseenChargedAt = now
	if !r.uses(UnseenCharges) || r.known(now) >= r.window() {
		return
	}
	missing := r.missing()
	if missing == 0 {
		return
	}
	for _, a := range r.accounts {
		share := a.Rate * Amount(now.Sub(since).Seconds()) / Amount(r.HostCount)
		a.unseen += share
		a.addSince(since, now, share*Amount(missing))
	}
}

// RemoveHost removes a host that has signed off and no longer admits requests.
func (r *Rationer) RemoveHost(id dotterelpulley.HostID) {
	delete(r.peers, id)
}
