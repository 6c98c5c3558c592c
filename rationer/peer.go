package rationer

import (
	"cmp"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// maxGapJudged is the longest time of reports from which a peer's usage before its first report is judged.
const maxGapJudged = time.Second

// peer is what this host knows of another host's usage.
type peer struct {
	incarnation uint64
	lastReport  time.Time
	lastCharged time.Time
	lateness    lateness
	// usage is what each organisation has used on the host since its start, as of the last report.
	usage map[dotterelpulley.OrganisationID]Amount
	// assumedUsage is the amount charged on the peer's behalf while it was silent.
	assumedUsage map[dotterelpulley.OrganisationID]Amount
	// gap is the time before the first report for which the usage isn't charged yet, as that report tells only a sum since long ago.
	gap time.Duration
	// firstReport and firstUsage are those from which the usage in the gap is judged.
	firstReport time.Time
	firstUsage  map[dotterelpulley.OrganisationID]Amount
	// unmeasured means that the peer still counts as unseen.
	unmeasured bool
	// gone means that the peer has been silent for so long that it counts as ended.
	gone bool
}

// lateness is how far apart reports have come lately; zero if there was only one.
type lateness time.Duration

// add adds the time between two reports. Reports that were held up come together, so that the latest time alone tells little.
func (l *lateness) add(between time.Duration) {
	*l = max(lateness(between), *l/2)
}

// RecordPeerUsage processes another host's complete report.
func (r *Rationer) RecordPeerUsage(now time.Time, id dotterelpulley.HostID, incarnation uint64, report Report) {
	r.init(now)
	report.Usage = withRoom(r, now, report.Usage)
	p, ok := r.peers[id]
	if !ok || p.incarnation != incarnation {
		r.peers[id] = r.meet(now, p, incarnation, report)
		return
	}
	for organisation, reported := range report.Usage {
		r.charge(now, p.lastReport, organisation, reported-p.usage[organisation], p.assumedUsage[organisation])
	}
	between := now.Sub(p.lastReport)
	r.reportedTime.add(now, between.Seconds())
	p.lateness.add(min(between, r.silenceTimeout()))
	r.lateness.add(min(between, r.silenceTimeout()))
	r.chargeGap(now, p, report)
	clear(p.assumedUsage)
	p.usage, p.lastReport, p.lastCharged, p.unmeasured, p.gone = report.Usage, now, now, false, false
}

// chargeGap charges what a peer used in the gap before its first report, at the rate that its reports have shown since then.
func (r *Rationer) chargeGap(now time.Time, p *peer, report Report) {
	seen := now.Sub(p.firstReport)
	if p.gap == 0 || seen < min(p.gap, maxGapJudged) {
		return
	}
	for organisation, reported := range report.Usage {
		before := p.firstUsage[organisation]
		amount := min((reported-before)*Amount(p.gap.Seconds()/seen.Seconds()), before)
		r.account(organisation).addSince(p.firstReport.Add(-p.gap), now, max(amount, 0))
	}
	p.gap, p.firstUsage = 0, nil
}

// charge counts what an organisation has used on a peer since the time, less what has been assumed of it.
func (r *Rationer) charge(now, since time.Time, id dotterelpulley.OrganisationID, amount, assumed Amount) {
	a := r.account(id)
	a.addSince(since, now, -assumed)
	a.addLike(&a.own, since, now, amount)
	a.reported.add(now, float64(amount))
}

// meet processes the first report of a host's start; before is what is known of its previous start, if anything. What the host has
// used since this one began to count, or since its last report, is charged: no other report tells it.
func (r *Rationer) meet(now time.Time, before *peer, incarnation uint64, report Report) *peer {
	p := &peer{incarnation: incarnation, lastReport: now, lastCharged: now, usage: report.Usage, assumedUsage: map[dotterelpulley.OrganisationID]Amount{}}
	unknownSince := r.startedAt
	if before != nil {
		unknownSince = before.lastReport
	}
	unknown := min(now.Sub(unknownSince), r.window())
	counted := report.Counted
	switch {
	case counted <= 0 && before != nil:
		// A restarted host of an earlier build has used all of it since its restart.
		counted, before = unknown, &peer{}
	case counted <= 0 || counted > r.window():
		p.gap, p.firstReport, p.firstUsage = unknown, now, report.Usage
		p.unmeasured = r.known(now) < r.window()
		return p
	}
	part := min(unknown, counted)
	for organisation, used := range report.Usage {
		r.charge(now, now.Add(-part), organisation, used*fraction(part, counted), r.assumed(now, before, organisation)*fraction(part, unknown))
	}
	r.reportedTime.add(now, part.Seconds())
	return p
}

// fraction returns the part of the whole; all of it if there is none.
func fraction(part, whole time.Duration) Amount {
	if whole <= 0 {
		return 1
	}
	return Amount(part.Seconds() / whole.Seconds())
}

// assumed returns what has been charged for a host that now reports for the first time since its start.
func (r *Rationer) assumed(now time.Time, before *peer, id dotterelpulley.OrganisationID) Amount {
	switch {
	case before != nil:
		return before.assumedUsage[id]
	case r.missing() > 0 && now.Sub(r.startedAt) < r.window():
		return r.account(id).unseen
	}
	return 0
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

// forgottenAfter returns the time without a report after which a peer is assumed to serve no requests. One that was cut off is
// silent for longer than the cut: from its last report before it to the first one after it.
func (r *Rationer) forgottenAfter(p *peer) time.Duration {
	late := time.Duration(cmp.Or(p.lateness, r.lateness))
	return max(forgetAfter+2*late, silencesUntilForgotten*r.silenceTimeout())
}

// chargeSilentHosts charges an equal share of each cap for every host that has stopped reporting but may still serve requests.
func (r *Rationer) chargeSilentHosts(now time.Time) {
	r.chargeUnseenHosts(now)
	sharers := 1
	for _, p := range r.peers {
		if !p.gone {
			sharers++
		}
	}
	for id, p := range r.peers {
		silent := now.Sub(p.lastReport)
		forgotten := r.forgottenAfter(p)
		if p.gone || silent > forgotten {
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
