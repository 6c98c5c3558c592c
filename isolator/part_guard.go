package isolator

import (
	"maps"
	"slices"
	"time"
)

// partRun is a run that hasn't begun its answer.
type partRun struct {
	attempt AttemptID
	parts   []Part
}

// PartGuard detects parts of prompts that crash the endpoints which begin to answer them; the zero value is ready to use.
//
// A crash is evidence against the parts of the runs that had not begun their answer. A later answer on any host refutes it, as
// an endpoint never gets that far on a part that crashes it. The evidence of all hosts merges in any order.
type PartGuard struct {
	waiting map[Start][]partRun
	records map[Part]*partRecord
	// answered and formerlyAnswered hold when runs with a part were last answered on this host; the latter is the older half.
	answered         map[Part]time.Time
	formerlyAnswered map[Part]time.Time
}

// Check returns a part because of which the request is refused. mayTry tells whether this host may try a part on parole.
func (g *PartGuard) Check(now time.Time, parts []Part, mayTry func(Part) bool) (Part, bool) {
	for _, p := range parts {
		if g.refuses(now, p, parts) && !g.onParole(now, p, mayTry) {
			return p, true
		}
	}
	return 0, false
}

// refuses reports whether requests with these parts are refused because of the one. An isolated part that the request doesn't
// have, and that has as many incidents at least, explains those which both have: it may be their only cause. If it isn't, the
// next crash tells the two apart.
func (g *PartGuard) refuses(now time.Time, p Part, parts []Part) bool {
	r, ok := g.records[p]
	if !ok {
		return false
	}
	own := r.standing(now)
	if own.state() != IsolatedPart {
		return false
	}
	explained := map[Incident]bool{}
	for other, record := range g.records {
		if s := record.standing(now); s.state() != IsolatedPart || s.incidents < own.incidents || slices.Contains(parts, other) {
			continue
		}
		for _, i := range record.incidents {
			explained[i.id] = explained[i.id] || !i.evidence.has(Refuted)
		}
	}
	var rest partRecord
	for _, i := range r.incidents {
		if !explained[i.id] {
			i.evidence &^= Decisive
			rest.incidents = append(rest.incidents, i)
		}
	}
	return len(rest.incidents) == len(r.incidents) || rest.standing(now).incidents >= own.limit
}

// onParole reports whether the part may be tried now; a trial that proved nothing is repeated after the same wait.
func (g *PartGuard) onParole(now time.Time, p Part, mayTry func(Part) bool) bool {
	r := g.records[p]
	s := r.standing(now)
	return now.Sub(s.newest) >= s.parole() && now.Sub(r.triedAt) >= s.parole() && mayTry(p)
}

// Begin records that a run begins on the start of an endpoint, unless the request is refused because of the returned part. A part
// on parole is tried by this run alone.
func (g *PartGuard) Begin(now time.Time, parts []Part, start Start, attempt AttemptID, mayTry func(Part) bool) (p Part, refused bool) {
	if p, refused := g.Check(now, parts, mayTry); refused {
		return p, true
	}
	for _, p := range parts {
		if g.refuses(now, p, parts) {
			g.records[p].triedAt = now
		}
	}
	if len(parts) > 0 {
		if g.waiting == nil {
			g.waiting = map[Start][]partRun{}
		}
		g.waiting[start] = append(g.waiting[start], partRun{attempt: attempt, parts: parts})
	}
	return 0, false
}

// MayRepeat reports whether a request that has crashed an endpoint may be sent to another one.
func (g *PartGuard) MayRepeat(now time.Time, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		r, ok := g.records[p]
		if !ok {
			return false
		}
		s := r.standing(now)
		return s.limit == partLimit && s.incidents >= partLimit-1
	})
}

// Ended records the end of a run.
func (g *PartGuard) Ended(start Start, attempt AttemptID) {
	g.take(start, attempt)
}

// take removes the run and returns its parts.
func (g *PartGuard) take(start Start, attempt AttemptID) []Part {
	runs := g.waiting[start]
	at := slices.IndexFunc(runs, func(r partRun) bool { return r.attempt == attempt })
	if at < 0 {
		return nil
	}
	parts := runs[at].parts
	g.waiting[start] = slices.Delete(runs, at, at+1)
	if len(g.waiting[start]) == 0 {
		delete(g.waiting, start)
	}
	return parts
}

// Waiting is a run that hasn't begun its answer.
type Waiting struct {
	Attempt AttemptID
	Parts   []Part
}

// Waiting returns the runs on the start of an endpoint that haven't begun their answers.
func (g *PartGuard) Waiting(start Start) []Waiting {
	var runs []Waiting
	for _, r := range g.waiting[start] {
		runs = append(runs, Waiting{Attempt: r.attempt, Parts: r.parts})
	}
	return runs
}

// Answered records that a run has begun its answer and gone on with it, and returns the parts whose state that changes.
func (g *PartGuard) Answered(now time.Time, start Start, attempt AttemptID) []PartChange {
	var changes []PartChange
	for _, p := range g.take(start, attempt) {
		g.remember(now, p)
		r, ok := g.records[p]
		if !ok {
			continue
		}
		before := r.standing(now)
		for i := range r.incidents {
			if !r.incidents[i].evidence.has(Refuted) {
				r.incidents[i].evidence, r.incidents[i].sends = r.incidents[i].evidence|Refuted, 0
			}
		}
		if before.incidents > 0 {
			changes = append(changes, PartChange{Part: p, From: before.state(), To: Sound, Incidents: before.incidents})
		}
	}
	return changes
}

func (g *PartGuard) remember(now time.Time, p Part) {
	if g.answered == nil || len(g.answered) >= maxAnswered {
		g.formerlyAnswered, g.answered = g.answered, map[Part]time.Time{}
	}
	g.answered[p] = now
}

// evidence returns what this host's answers say of an incident at that time.
func (g *PartGuard) evidence(p Part, at time.Time) Evidence {
	answeredAt, ok := g.answered[p]
	if !ok {
		answeredAt, ok = g.formerlyAnswered[p]
	}
	switch {
	case !ok || at.Sub(answeredAt) > vouchMemory:
		return 0
	case !answeredAt.Before(at):
		return Refuted
	default:
		return Vouched
	}
}

// EndpointCrashed records the crash of a start of an endpoint and returns the parts whose state or incidents that changes.
func (g *PartGuard) EndpointCrashed(now time.Time, start Start, incident Incident) []PartChange {
	runs := g.waiting[start]
	delete(g.waiting, start)
	var changes []PartChange
	var unknown []Part
	for _, run := range runs {
		for _, p := range run.parts {
			if _, ok := g.records[p]; !ok {
				unknown = append(unknown, p)
				continue
			}
			if c, ok := g.add(now, p, partIncident{id: incident, at: now}); ok {
				changes = append(changes, c)
			}
		}
	}
	// Parts that have crashed endpoints before must not make room for those that come with them.
	for _, p := range unknown {
		if c, ok := g.add(now, p, partIncident{id: incident, at: now}); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// add merges an incident and reports whether that changes the part's state or incidents.
func (g *PartGuard) add(now time.Time, p Part, incident partIncident) (PartChange, bool) {
	r, ok := g.records[p]
	if !ok {
		if !g.makeRoom(incident.at) {
			return PartChange{}, false
		}
		r = &partRecord{}
		g.records[p] = r
	}
	incident.evidence |= g.evidence(p, incident.at)
	before := r.standing(now)
	if !r.add(incident) {
		return PartChange{}, false
	}
	after := r.standing(now)
	if before.state() != IsolatedPart && after.state() == IsolatedPart {
		r.decide()
	}
	c := PartChange{Part: p, From: before.state(), To: after.state(), Incidents: after.incidents, Incident: incident.id}
	return c, c.From != c.To || before.incidents != after.incidents
}

// makeRoom makes room for a part with an incident at that time, in place of an older one with the fewest open incidents.
func (g *PartGuard) makeRoom(at time.Time) bool {
	if g.records == nil {
		g.records = map[Part]*partRecord{}
	}
	if len(g.records) < maxParts {
		return true
	}
	var weakest Part
	var weakestAt time.Time
	fewest := -1
	for p, r := range g.records {
		s, newest := r.standing(at), r.newest()
		if s.state() == IsolatedPart || !newest.Before(at) {
			continue
		}
		if fewest < 0 || s.incidents < fewest || s.incidents == fewest && newest.Before(weakestAt) {
			weakest, weakestAt, fewest = p, newest, s.incidents
		}
	}
	if fewest < 0 {
		return false
	}
	delete(g.records, weakest)
	return true
}

// Prune forgets incidents that no longer count, and returns the parts that are no longer isolated.
func (g *PartGuard) Prune(now time.Time) []PartChange {
	var changes []PartChange
	for p, r := range g.records {
		// The pruned incidents may be some of those that had isolated the part.
		last := r.standing(r.newest()).state()
		r.incidents = slices.DeleteFunc(r.incidents, func(i partIncident) bool { return now.Sub(i.at) > incidentLifetime })
		if s := r.standing(now); last == IsolatedPart && s.state() != IsolatedPart {
			changes = append(changes, PartChange{Part: p, From: last, To: s.state(), Incidents: s.incidents})
		}
	}
	maps.DeleteFunc(g.records, func(_ Part, r *partRecord) bool { return len(r.incidents) == 0 })
	return changes
}

// Isolated returns the isolated parts, ordered.
func (g *PartGuard) Isolated(now time.Time) []Part {
	var parts []Part
	for p, r := range g.records {
		if r.standing(now).state() == IsolatedPart {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts
}

// State returns the part's state.
func (g *PartGuard) State(now time.Time, p Part) PartState {
	if r, ok := g.records[p]; ok {
		return r.standing(now).state()
	}
	return Sound
}
