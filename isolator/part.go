package isolator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Part identifies a part of the prompts that a service reads.
type Part uint64

// PartOf returns the service's part with the id's hash.
func PartOf(service dotterelpulley.ServiceID, id uint64) Part {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/" + strconv.FormatUint(id, 16))
	return Part(d.Sum64())
}

// String returns the part in hexadecimal digits.
func (p Part) String() string {
	return strconv.FormatUint(uint64(p), 16)
}

// Start identifies one start of an endpoint on this host.
type Start string

// Incident identifies the crash of one start of an endpoint, whichever host reports it.
type Incident uint32

// Evidence is a set of what is known of a part in one incident, in which it was in a run that had not begun its answer.
type Evidence uint8

// The kinds of evidence.
const (
	// Vouched means that a run with the part was answered not long before.
	Vouched Evidence = 1 << iota
	// Decisive means that a host has isolated the part since this incident. Hosts time incidents a little differently, so that
	// they may not agree on which of them count as one.
	Decisive
	// Refuted means that a run with the part has been answered since.
	Refuted

	allEvidence = Vouched | Decisive | Refuted
)

func (e Evidence) has(kind Evidence) bool {
	return e&kind != 0
}

// PartFact is the evidence of a part in an incident, as hosts tell it to each other.
type PartFact struct {
	Part     Part
	Incident Incident
	Evidence Evidence
	// Age is the time since the incident.
	Age time.Duration
}

// PartState is what a host makes of a part.
type PartState int

// The states of a part.
const (
	// Sound parts have no open incident.
	Sound PartState = iota
	// Suspected parts have some.
	Suspected
	// IsolatedPart are those of which requests are refused.
	IsolatedPart
)

var partStateNames = [...]string{"sound", "suspected", "isolated"}

// String returns the state's name in logs.
func (s PartState) String() string {
	return partStateNames[s]
}

// PartChange is a change of a part's state.
type PartChange struct {
	Part     Part
	From, To PartState
	// Incidents is the number of open incidents, where those that follow each other closely count as one.
	Incidents int
	Incident  Incident
}

const (
	// incidentSpan is the time within which crashes count as one incident: many endpoints that fail together prove nothing.
	incidentSpan = 150 * time.Millisecond
	// partLimit and vouchedPartLimit are the incidents from which a part is isolated, without and with answers before them.
	partLimit = 3
	// burstLimit is the endpoints that crash in at least two incidents from which on a part without answers is isolated as well.
	burstLimit       = 5
	vouchedPartLimit = 5
	// firstParole is the time after the last incident until an isolated part is tried; each further incident doubles it.
	firstParole = 30 * time.Second
	maxParole   = 16 * time.Minute
	// incidentLifetime is how long an incident counts, and incidentRelayTime how long hosts tell it to each other.
	incidentLifetime  = 20 * time.Minute
	incidentRelayTime = incidentLifetime - time.Minute
	// vouchMemory is how long a host remembers an answer.
	vouchMemory = 10 * time.Minute
	// maxParts, maxIncidents and maxAnswered limit the memory for parts, the incidents of one part, and half of the answers.
	maxParts     = 256
	maxIncidents = 8
	maxAnswered  = 512
)

// partIncident is an incident of a part; sends counts the digests that have told its newest evidence.
type partIncident struct {
	id       Incident
	evidence Evidence
	at       time.Time
	sends    int
}

// partRecord holds the incidents of a part, the oldest first.
type partRecord struct {
	incidents []partIncident
	// triedAt is when this host last ran a request with the part on parole.
	triedAt time.Time
}

// standing is the sum of a part's open incidents.
type standing struct {
	incidents int
	limit     int
	newest    time.Time
}

func (s standing) state() PartState {
	switch {
	case s.incidents == 0:
		return Sound
	case s.incidents < s.limit:
		return Suspected
	default:
		return IsolatedPart
	}
}

// parole returns the time after the newest incident, and between two trials, until the isolated part may be tried.
func (s standing) parole() time.Duration {
	wait := firstParole
	for range s.incidents - s.limit {
		wait = min(2*wait, maxParole)
	}
	return wait
}

func (r *partRecord) standing(now time.Time) standing {
	s := standing{limit: partLimit}
	var spanStart time.Time
	decided := false
	endpoints := 0
	for _, i := range r.incidents {
		if i.evidence.has(Refuted) || now.Sub(i.at) > incidentLifetime {
			continue
		}
		if i.evidence.has(Vouched) {
			s.limit = vouchedPartLimit
		}
		decided = decided || i.evidence.has(Decisive)
		if s.incidents == 0 || i.at.Sub(spanStart) >= incidentSpan {
			s.incidents++
			spanStart = i.at
		}
		s.newest = i.at
		endpoints++
	}
	decided = decided || s.incidents >= partLimit-1 && endpoints >= burstLimit
	if decided && s.limit == partLimit {
		s.incidents = max(s.incidents, s.limit)
	}
	return s
}

// add merges the evidence of an incident and reports whether that changed anything.
func (r *partRecord) add(added partIncident) bool {
	if at := slices.IndexFunc(r.incidents, func(i partIncident) bool { return i.id == added.id }); at >= 0 {
		known := &r.incidents[at]
		earlier := added.at.Before(known.at)
		if earlier {
			known.at = added.at
			r.sort()
			known = &r.incidents[slices.IndexFunc(r.incidents, func(i partIncident) bool { return i.id == added.id })]
		}
		if known.evidence.has(Refuted) && !added.evidence.has(Refuted) {
			// Another host still holds it against the part.
			known.sends = min(known.sends, freshSends-1)
		}
		if added.evidence&^known.evidence == 0 {
			// An earlier time may change which incidents count as one.
			return earlier
		}
		known.evidence, known.sends = known.evidence|added.evidence, 0
		return true
	}
	r.incidents = append(r.incidents, added)
	r.sort()
	if len(r.incidents) > maxIncidents {
		at := r.dispensable()
		r.incidents = slices.Delete(r.incidents, at, at+1)
	}
	return true
}

// dispensable returns the position of the refuted incident that has been told the most, as the open ones decide, or of the
// one that follows another most closely.
func (r *partRecord) dispensable() int {
	found := -1
	for at, i := range r.incidents {
		if i.evidence.has(Refuted) && (found < 0 || i.sends > r.incidents[found].sends) {
			found = at
		}
	}
	if found >= 0 {
		return found
	}
	gap := func(at int) time.Duration { return r.incidents[at].at.Sub(r.incidents[at-1].at) }
	found = 1
	for at := 2; at < len(r.incidents); at++ {
		if gap(at) < gap(found) {
			found = at
		}
	}
	return found
}

func (r *partRecord) sort() {
	slices.SortStableFunc(r.incidents, func(a, b partIncident) int { return a.at.Compare(b.at) })
}

// decide marks the newest open incident as the one by which the part is isolated.
func (r *partRecord) decide() {
	for _, i := range slices.Backward(r.incidents) {
		if !i.evidence.has(Refuted) {
			r.add(partIncident{id: i.id, evidence: Decisive, at: i.at})
			return
		}
	}
}

func (r *partRecord) newest() time.Time {
	if len(r.incidents) == 0 {
		return time.Time{}
	}
	return r.incidents[len(r.incidents)-1].at
}
