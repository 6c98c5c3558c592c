package gateway

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// crashReportTime is how long each crash is reported, long enough for several digests to be lost, and crashMemory how long
	// it is remembered as reported.
	crashReportTime = 5 * time.Second
	crashMemory     = 2 * time.Minute
	// maxReportedCrashes limits the crashes in a digest.
	maxReportedCrashes = 64
)

// crashReports are the crashes that hosts of builds up to 164c83d are told of, which know no facts of whole requests; the zero
// value is ready to use.
type crashReports struct {
	reported []observedCrash
	// seen holds when each attempt's crash was reported first.
	seen map[uint64]time.Time
}

// observedCrash is a crash that this host observed itself or was told of first by another one.
type observedCrash struct {
	announcer.Crash
	at time.Time
}

// add adds a crash to the next digests, in place of the oldest one if there are too many, and reports whether it was unknown.
func (r *crashReports) add(now time.Time, c announcer.Crash) bool {
	if _, known := r.seen[c.Attempt]; known {
		return false
	}
	if r.seen == nil {
		r.seen = map[uint64]time.Time{}
	}
	r.seen[c.Attempt] = now
	r.reported = append(r.reported, observedCrash{at: now, Crash: c})
	r.reported = r.reported[max(len(r.reported)-maxReportedCrashes, 0):]
	return true
}

// announced returns the crashes for the next digest.
func (r *crashReports) announced() (crashes []announcer.Crash) {
	for _, c := range r.reported {
		crashes = append(crashes, c.Crash)
	}
	return crashes
}

func (r *crashReports) expire(now time.Time) {
	r.reported = slices.DeleteFunc(r.reported, func(c observedCrash) bool { return now.Sub(c.at) > crashReportTime })
	for attempt, at := range r.seen {
		if now.Sub(at) > crashMemory {
			delete(r.seen, attempt)
		}
	}
}

// reportCrash reports the requests that wait on an endpoint which has crashed: those under suspicion, or all if none is; the
// mutex must be held.
func (g *Gateway) reportCrash(now time.Time, e scheduler.Endpoint) {
	requests := &g.isolations[wholeRequests]
	runs := requests.Waiting(startOf(e))
	suspected := func(r isolator.Waiting) bool {
		return slices.ContainsFunc(r.Parts, func(p isolator.Part) bool { return requests.State(now, p) != isolator.Sound })
	}
	anySuspected := slices.ContainsFunc(runs, suspected)
	for _, r := range runs {
		if anySuspected && !suspected(r) {
			continue
		}
		for _, p := range r.Parts {
			g.crashes.add(now, announcer.Crash{Fingerprint: uint64(p), Attempt: uint64(r.Attempt), Endpoint: scheduler.EndpointKey(e.ID)})
		}
	}
}

// adoptCrashes returns the facts in the crashes that a host of an earlier build reports, and passes the crashes on: that host
// reaches only some of a large fleet while it reports them.
func (g *Gateway) adoptCrashes(now time.Time, reported []announcer.Crash) (facts []announcer.PartFact) {
	if len(reported) == 0 {
		return nil
	}
	incidents := g.currentIncidents()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, c := range reported {
		if !g.crashes.add(now, c) {
			continue
		}
		incident, ok := incidents[c.Endpoint]
		if !ok {
			incident = c.Endpoint
		}
		facts = append(facts, announcer.PartFact{Part: c.Fingerprint, Incident: incident})
	}
	return facts
}

// currentIncidents returns the incident of a crash of each registered start, by its endpoint's key.
func (g *Gateway) currentIncidents() map[uint32]uint32 {
	incidents := map[uint32]uint32{}
	for _, e := range g.registry.registrations() {
		incidents[scheduler.EndpointKey(e.ID)] = uint32(e.Instance())
	}
	return incidents
}
