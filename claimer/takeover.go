package claimer

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// rankDelay staggers the members that would expire the same silent member.
	rankDelay    = 2 * time.Second
	longestRank  = 4
	judgeAgainIn = 5 * time.Second
	// judgeEvery is the minimum time between two checks of all members, unless a roster read or a reply arrives.
	judgeEvery = 200 * time.Millisecond
)

// suspects holds the members that this host considers gone, and what it has observed of each member.
type suspects struct {
	heard   map[dotterelpulley.Incarnation]time.Time
	listed  map[dotterelpulley.Incarnation]bool
	missing map[dotterelpulley.Incarnation]time.Time
	cases   map[dotterelpulley.Incarnation]*suspicion
	due     time.Time
}

type suspicion struct {
	proof   Proof
	gone    time.Time
	since   time.Time
	asked   time.Time
	base    Offset
	awaited map[dotterelpulley.Incarnation]bool
	known   bool
	judged  time.Time
}

func (s *suspects) start() {
	s.heard = map[dotterelpulley.Incarnation]time.Time{}
	s.listed = map[dotterelpulley.Incarnation]bool{}
	s.missing = map[dotterelpulley.Incarnation]time.Time{}
	s.cases = map[dotterelpulley.Incarnation]*suspicion{}
}

func (s *suspects) drop(id dotterelpulley.Incarnation) {
	delete(s.cases, id)
	delete(s.missing, id)
}

func (s *suspects) reply(r Reply) {
	k, ok := s.cases[r.Question.About]
	if !ok || r.Question.Kind != AskUnrecorded || r.Question.Base != k.base {
		return
	}
	if r.From == r.Question.About {
		s.drop(r.From)
		delete(s.listed, r.From)
		return
	}
	delete(k.awaited, r.From)
	k.known = k.known || r.Unrecorded || !r.Accepted
}

// listHosts records which members have disappeared from the host list.
func (c *Claimer) listHosts(hosts []dotterelpulley.HostID) {
	s := &c.suspects
	for _, m := range c.roster.Members {
		if slices.Contains(hosts, m.Host) {
			s.listed[m.Incarnation] = true
			delete(s.missing, m.Incarnation)
			continue
		}
		if _, ok := s.missing[m.Incarnation]; !ok && s.listed[m.Incarnation] {
			s.missing[m.Incarnation] = c.now
		}
	}
}

// proof returns why the member is known to be gone, if it is.
func (c *Claimer) proof(m RosterMember, latest map[dotterelpulley.HostID]RosterMember) (Proof, bool) {
	s := &c.suspects
	if last := latest[m.Host]; last.Peer == m.Peer && last.Joined > m.Joined {
		return ProofReplaced, true
	}
	if since, ok := s.missing[m.Incarnation]; ok && c.now.Sub(since) >= c.Settings.GoneLimit {
		return ProofUnlisted, true
	}
	longest := time.Duration(float64(c.Settings.Lease) * (1 + c.Settings.ClockDrift))
	if heard, ok := s.heard[m.Incarnation]; ok && c.now.Sub(heard) > longest {
		return ProofSilence, true
	}
	return 0, false
}

func (c *Claimer) advanceSuspects() {
	s := &c.suspects
	if c.now.Before(s.due) || !c.isMember() || !c.paused.IsZero() {
		return
	}
	s.due = c.now.Add(judgeEvery)
	latest := map[dotterelpulley.HostID]RosterMember{}
	for _, m := range c.roster.Members {
		latest[m.Host] = m
	}
	rank := min(c.roster.index(c.Self.Incarnation), longestRank)
	for _, m := range c.roster.Members {
		if m.Incarnation == c.Self.Incarnation {
			continue
		}
		if k := c.suspect(m, latest); k != nil {
			c.advanceCase(m, k, rank)
		}
	}
}

// suspect returns the case of a member that is known to be gone, or nil.
func (c *Claimer) suspect(m RosterMember, latest map[dotterelpulley.HostID]RosterMember) *suspicion {
	s := &c.suspects
	if _, ok := s.heard[m.Incarnation]; !ok {
		s.heard[m.Incarnation] = c.now
	}
	proof, gone := c.proof(m, latest)
	if !gone {
		delete(s.cases, m.Incarnation)
		return nil
	}
	k, ok := s.cases[m.Incarnation]
	if !ok {
		k = &suspicion{since: c.now, gone: c.now}
		s.cases[m.Incarnation] = k
	}
	k.proof = proof
	if missing, ok := s.missing[m.Incarnation]; ok && proof == ProofUnlisted {
		k.gone = missing
	}
	return k
}

func (c *Claimer) advanceCase(m RosterMember, k *suspicion, rank int) {
	wait := time.Duration(rank) * rankDelay
	if c.now.Sub(k.since) < wait {
		return
	}
	if !k.judged.IsZero() && c.now.Sub(k.judged) > judgeAgainIn {
		k.asked, k.judged = time.Time{}, time.Time{}
	}
	if !k.asked.IsZero() {
		return
	}
	k.asked = c.now
	k.base = c.roster.LastOffset()
	_, k.known = c.witness.answer(&c.roster, Question{Kind: AskUnrecorded, About: m.Incarnation, Base: k.base})
	k.awaited = map[dotterelpulley.Incarnation]bool{}
	to := c.others(m.Incarnation)
	for _, other := range to {
		k.awaited[other.Incarnation] = true
	}
	if k.proof == ProofUnlisted {
		to = append(to, m.Member)
	}
	if len(to) == 0 {
		return
	}
	c.do(Ask{To: to, Question: Question{Kind: AskUnrecorded, About: m.Incarnation, Base: k.base}})
}

// judged returns an expire record for a case whose questions are answered or timed out.
func (c *Claimer) judged() (Expire, bool) {
	for _, m := range c.roster.Members {
		k, ok := c.suspects.cases[m.Incarnation]
		if !ok || k.asked.IsZero() || !k.judged.IsZero() {
			continue
		}
		late := c.now.Sub(k.asked) >= c.Settings.AskTimeout
		mustHear := len(k.awaited) > 0 || k.proof == ProofUnlisted
		if mustHear && !late {
			continue
		}
		k.judged = c.now
		return Expire{
			Incarnation: m.Incarnation,
			Base:        k.base,
			Proof:       k.proof,
			Gone:        k.gone,
			Clean:       len(k.awaited) == 0 && !k.known,
		}, true
	}
	return Expire{}, false
}
