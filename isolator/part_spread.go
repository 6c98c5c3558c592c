package isolator

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxFacts is the most facts that a host tells at one time.
	maxFacts = 32
	// freshSends is how many digests tell new evidence; each goes to up to 16 hosts.
	freshSends = 12
	// reminderInterval makes one in so many digests tell what is known besides, for hosts that have started since.
	reminderInterval = 16
)

// Facts returns the facts to tell in the digest with this number: new ones first, and in some digests those that still count.
func (g *PartGuard) Facts(now time.Time, digest uint64) []PartFact {
	type candidate struct {
		part     Part
		incident *partIncident
		isolated bool
	}
	reminder := digest%reminderInterval == 0
	var candidates []candidate
	for p, r := range g.records {
		isolated := reminder && r.standing(now).state() == IsolatedPart
		for at := range r.incidents {
			i := &r.incidents[at]
			if now.Sub(i.at) < incidentRelayTime && (i.sends < freshSends || reminder && !i.evidence.has(Refuted)) {
				candidates = append(candidates, candidate{p, i, isolated})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.isolated != b.isolated {
			if a.isolated {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.incident.sends, b.incident.sends), b.incident.at.Compare(a.incident.at),
			cmp.Compare(a.part, b.part), cmp.Compare(a.incident.id, b.incident.id))
	})
	var facts []PartFact
	for _, c := range candidates[:min(len(candidates), maxFacts)] {
		c.incident.sends = min(c.incident.sends+1, freshSends)
		facts = append(facts, PartFact{Part: c.part, Incident: c.incident.id, Evidence: c.incident.evidence, Age: now.Sub(c.incident.at)})
	}
	return facts
}

// Receive merges facts of another host, and returns the parts whose state or incidents that changes.
func (g *PartGuard) Receive(now time.Time, facts []PartFact) []PartChange {
	var changes []PartChange
	for _, f := range facts {
		if f.Age < 0 || f.Age >= incidentRelayTime || f.Evidence > allEvidence {
			continue
		}
		if c, ok := g.add(now, f.Part, partIncident{id: f.Incident, evidence: f.Evidence, at: now.Add(-f.Age)}); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// FactsOf returns the open incidents of a part, to keep them where they outlast the hosts.
func (g *PartGuard) FactsOf(now time.Time, p Part) []PartFact {
	r, ok := g.records[p]
	if !ok {
		return nil
	}
	var facts []PartFact
	for _, i := range r.incidents {
		if !i.evidence.has(Refuted) && now.Sub(i.at) < incidentRelayTime {
			facts = append(facts, PartFact{Part: p, Incident: i.id, Evidence: i.evidence, Age: now.Sub(i.at)})
		}
	}
	return facts
}
