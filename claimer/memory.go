package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// witnessesAsked is the maximum number of members that a declaration is sent to at once.
const witnessesAsked = 4

// memory tracks whether requests may run before their claims are on the log.
type memory struct {
	revision int64
	declared bool
	askedAt  time.Time
	accepted map[dotterelpulley.Incarnation]bool
}

// mayGrantUnrecorded reports whether this host may dispatch and another member, if there is one, has accepted its declaration of unrecorded claims.
func (c *Claimer) mayGrantUnrecorded() bool {
	if !c.mayDispatch() {
		return false
	}
	if len(c.others("")) == 0 {
		return true
	}
	for id := range c.memory.accepted {
		if _, ok := c.roster.MemberOf(id); ok {
			return true
		}
	}
	return false
}

// others returns all members except this one and the given one.
func (c *Claimer) others(except dotterelpulley.Incarnation) []Member {
	var members []Member
	for _, m := range c.roster.Members {
		if m.Incarnation != c.Self.Incarnation && m.Incarnation != except {
			members = append(members, m.Member)
		}
	}
	return members
}

func (c *Claimer) advanceMemory() {
	m := &c.memory
	if c.group.unrecordedSince.IsZero() {
		c.declareRecorded()
		return
	}
	const halves = 2
	shortest := c.Settings.Patience[dotterelpulley.KindPlan]
	if c.now.Sub(c.group.unrecordedSince) < shortest/halves || !c.mayDispatch() || c.mayGrantUnrecorded() {
		return
	}
	if m.declared && c.now.Sub(m.askedAt) < c.Settings.AskTimeout {
		return
	}
	if !m.declared {
		m.revision++
		m.accepted = map[dotterelpulley.Incarnation]bool{}
	}
	m.declared = true
	m.askedAt = c.now
	c.emit(Ask{To: c.witnesses(), Question: c.declaration(DeclareUnrecorded)})
}

// witnesses returns a few members, different ones at each attempt.
func (c *Claimer) witnesses() []Member {
	others := c.others("")
	if len(others) <= witnessesAsked {
		return others
	}
	chosen := make([]Member, 0, witnessesAsked)
	from := int(c.lastID) % len(others)
	c.lastID++
	for i := range witnessesAsked {
		chosen = append(chosen, others[(from+i)%len(others)])
	}
	return chosen
}

func (c *Claimer) declaration(kind QuestionKind) Question {
	return Question{Kind: kind, About: c.Self.Incarnation, Revision: c.memory.revision}
}

func (c *Claimer) declareRecorded() {
	m := &c.memory
	if !m.declared || c.unrecordedCount() > 0 {
		return
	}
	m.declared = false
	m.revision++
	m.accepted = nil
	c.emit(Ask{To: c.others(""), Question: c.declaration(DeclareRecorded)})
}

func (c *Claimer) reply(r Reply) {
	if r.Question.About != c.Self.Incarnation {
		c.suspects.reply(r)
		return
	}
	m := &c.memory
	current := m.declared && r.Question.Kind == DeclareUnrecorded && r.Question.Revision == m.revision
	if current && r.Accepted {
		m.accepted[r.From] = true
	}
}
