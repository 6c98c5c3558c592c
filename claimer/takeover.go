package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// rankDelay staggers the members that would expire the same silent member.
	rankDelay           = 2 * time.Second
	maxRank             = 4
	expireRetryInterval = 5 * time.Second
	// checkInterval is the minimum time between two checks of all members, unless a roster read or a reply arrives.
	checkInterval = 200 * time.Millisecond
)

// suspects holds the members that this host considers gone, and what it has observed of each member.
type suspects struct {
	lastRenewed  map[dotterelpulley.Incarnation]time.Time
	listed       map[dotterelpulley.Incarnation]bool
	missingSince map[dotterelpulley.Incarnation]time.Time
	cases        map[dotterelpulley.Incarnation]*suspicion
	nextCheck    time.Time
}

// suspicion is the case of one member that is known to be gone, from the proof to the expire record.
type suspicion struct {
	proof           Proof
	goneSince       time.Time
	openedAt        time.Time
	askedAt         time.Time
	base            Offset
	awaitedReplies  map[dotterelpulley.Incarnation]bool
	unrecordedKnown bool
	expireSentAt    time.Time
}

func (s *suspects) reset() {
	s.lastRenewed = map[dotterelpulley.Incarnation]time.Time{}
	s.listed = map[dotterelpulley.Incarnation]bool{}
	s.missingSince = map[dotterelpulley.Incarnation]time.Time{}
	s.cases = map[dotterelpulley.Incarnation]*suspicion{}
}

func (s *suspects) drop(id dotterelpulley.Incarnation) {
	delete(s.cases, id)
	delete(s.missingSince, id)
}

func (s *suspects) reply(r Reply) {
	suspected, ok := s.cases[r.Question.About]
	if !ok || r.Question.Kind != AskUnrecorded || r.Question.Base != suspected.base {
		return
	}
	if r.From == r.Question.About {
		s.drop(r.From)
		delete(s.listed, r.From)
		return
	}
	delete(suspected.awaitedReplies, r.From)
	suspected.unrecordedKnown = suspected.unrecordedKnown || r.Unrecorded || !r.Accepted
}

// listHosts records which members have disappeared from the host list.
func (c *Claimer) listHosts(hosts []dotterelpulley.HostID) {
	s := &c.suspects
	for _, m := range c.roster.Members {
		if slices.Contains(hosts, m.Host) {
			s.listed[m.Incarnation] = true
			delete(s.missingSince, m.Incarnation)
			continue
		}
		if _, ok := s.missingSince[m.Incarnation]; !ok && s.listed[m.Incarnation] {
			s.missingSince[m.Incarnation] = c.now
		}
	}
}

// proof returns why the member is known to be gone, if it is.
func (c *Claimer) proof(m RosterMember, latest map[dotterelpulley.HostID]RosterMember) (Proof, bool) {
	s := &c.suspects
	if last := latest[m.Host]; last.Peer == m.Peer && last.Joined > m.Joined {
		return ProofReplaced, true
	}
	if since, ok := s.missingSince[m.Incarnation]; ok && c.now.Sub(since) >= c.Settings.GoneLimit {
		return ProofUnlisted, true
	}
	maxSilence := time.Duration(float64(c.Settings.Lease) * (1 + c.Settings.ClockDrift))
	if lastRenewed, ok := s.lastRenewed[m.Incarnation]; ok && c.now.Sub(lastRenewed) > maxSilence {
		return ProofSilence, true
	}
	return 0, false
}

func (c *Claimer) advanceSuspects() {
	s := &c.suspects
	if c.now.Before(s.nextCheck) || !c.isMember() || !c.pausedAt.IsZero() {
		return
	}
	s.nextCheck = c.now.Add(checkInterval)
	latest := map[dotterelpulley.HostID]RosterMember{}
	for _, m := range c.roster.Members {
		latest[m.Host] = m
	}
	rank := min(c.roster.index(c.Self.Incarnation), maxRank)
	for _, m := range c.roster.Members {
		if m.Incarnation == c.Self.Incarnation {
			continue
		}
		if suspected := c.suspect(m, latest); suspected != nil {
			c.advanceCase(m, suspected, rank)
		}
	}
}

// suspect returns the case of a member that is known to be gone, or nil.
func (c *Claimer) suspect(m RosterMember, latest map[dotterelpulley.HostID]RosterMember) *suspicion {
	s := &c.suspects
	if _, ok := s.lastRenewed[m.Incarnation]; !ok {
		s.lastRenewed[m.Incarnation] = c.now
	}
	proof, gone := c.proof(m, latest)
	if !gone {
		delete(s.cases, m.Incarnation)
		return nil
	}
	suspected, ok := s.cases[m.Incarnation]
	if !ok {
		suspected = &suspicion{openedAt: c.now, goneSince: c.now}
		s.cases[m.Incarnation] = suspected
	}
	suspected.proof = proof
	if missingSince, ok := s.missingSince[m.Incarnation]; ok && proof == ProofUnlisted {
		suspected.goneSince = missingSince
	}
	return suspected
}

func (c *Claimer) advanceCase(m RosterMember, suspected *suspicion, rank int) {
	wait := time.Duration(rank) * rankDelay
	if c.now.Sub(suspected.openedAt) < wait {
		return
	}
	if !suspected.expireSentAt.IsZero() && c.now.Sub(suspected.expireSentAt) > expireRetryInterval {
		suspected.askedAt, suspected.expireSentAt = time.Time{}, time.Time{}
	}
	if !suspected.askedAt.IsZero() {
		return
	}
	suspected.askedAt = c.now
	suspected.base = c.roster.LastOffset()
	_, suspected.unrecordedKnown = c.witness.answer(&c.roster, Question{Kind: AskUnrecorded, About: m.Incarnation, Base: suspected.base})
	suspected.awaitedReplies = map[dotterelpulley.Incarnation]bool{}
	to := c.others(m.Incarnation)
	for _, other := range to {
		suspected.awaitedReplies[other.Incarnation] = true
	}
	if suspected.proof == ProofUnlisted {
		to = append(to, m.Member)
	}
	if len(to) == 0 {
		return
	}
	c.emit(Ask{To: to, Question: Question{Kind: AskUnrecorded, About: m.Incarnation, Base: suspected.base}})
}

// nextExpire returns an expire record for a case whose questions are answered or timed out.
func (c *Claimer) nextExpire() (Expire, bool) {
	for _, m := range c.roster.Members {
		suspected, ok := c.suspects.cases[m.Incarnation]
		if !ok || suspected.askedAt.IsZero() || !suspected.expireSentAt.IsZero() {
			continue
		}
		timedOut := c.now.Sub(suspected.askedAt) >= c.Settings.AskTimeout
		awaitsReplies := len(suspected.awaitedReplies) > 0 || suspected.proof == ProofUnlisted
		if awaitsReplies && !timedOut {
			continue
		}
		suspected.expireSentAt = c.now
		return Expire{
			Incarnation: m.Incarnation,
			Base:        suspected.base,
			Proof:       suspected.proof,
			Gone:        suspected.goneSince,
			Clean:       len(suspected.awaitedReplies) == 0 && !suspected.unrecordedKnown,
		}, true
	}
	return Expire{}, false
}
