package picker

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 4 * time.Second
	// reportSlack is by how much own sends may exceed a report before it counts as wrong.
	reportSlack = 1.2
	// trustKept is what a contradicted report leaves of the trust in its endpoint.
	trustKept = 0.5
	// trustRegained is what a report that fits adds to the trust.
	trustRegained = 0.02
	// alikeShare is how far the other hosts are taken to have sent like this one since a report.
	alikeShare = 0.5
	// slowFactor is by how much a gap may exceed the expected one before the report counts as wrong.
	slowFactor = 2
	// learnWeight is the weight of one sample in the means.
	learnWeight = 0.1
	// batchOffset is the load at which a step takes twice as long as for one request.
	batchOffset = 16
	// unknownGap and unknownPrefill stand for an endpoint without a sample.
	unknownGap     = 0.02
	unknownPrefill = 0.0001
	// leastPrefill is the fewest tokens of a prompt from which the prefill speed is learned.
	leastPrefill = 64

	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 30 * time.Second
	refusalPause     = 250 * time.Millisecond
)

// Report is what an endpoint says of its load.
type Report struct {
	Running    int
	Waiting    int
	MeasuredAt time.Time
}

// endpoint is what the picker knows of one endpoint.
type endpoint struct {
	dotterelpulley.Endpoint
	limit   float64
	left    bool
	suspect time.Time
	// failures counts broken runs in a row.
	failures int

	own        int
	ownPrefill float64
	past       history

	reported bool
	report   Report
	trust    float64

	// gap is the mean seconds between tokens, seen at the mean load gapLoad.
	gap     float64
	gapLoad float64
	// prefill is the mean seconds per prompt token.
	prefill float64
}

// load returns how many requests of all hosts the endpoint is taken to run.
func (e *endpoint) load(now time.Time, peers int) float64 {
	own := float64(e.own)
	alike := own * float64(peers)
	if !e.reported || e.trust < 0.01 {
		return alike
	}
	then := float64(e.past.at(e.report.MeasuredAt))
	total := math.Max(float64(e.report.Running+e.report.Waiting), then)
	hosts := float64(peers)
	if then > 0 {
		hosts = math.Min(math.Max(total/then, 1), hosts)
	}
	corrected := math.Max(total+(own-then)*(1+(hosts-1)*alikeShare), own)
	weight := e.trust * e.freshness(now)
	return math.Max(own, weight*corrected+(1-weight)*alike)
}

func (e *endpoint) freshness(now time.Time) float64 {
	age := now.Sub(e.report.MeasuredAt)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// take stores a report and weighs it against the own sends of its time.
func (e *endpoint) take(now time.Time, r Report) {
	if r.MeasuredAt.After(now) {
		r.MeasuredAt = now
	}
	if e.reported && !r.MeasuredAt.After(e.report.MeasuredAt) {
		return
	}
	if !e.reported {
		e.trust = 1
	}
	e.reported = true
	e.report = r
	then := float64(e.past.at(r.MeasuredAt))
	before := float64(e.past.at(r.MeasuredAt.Add(-historyStep)))
	if math.Min(then, before) > reportSlack*float64(r.Running+r.Waiting)+1 {
		e.trust *= trustKept
		return
	}
	e.trust = math.Min(1, e.trust+trustRegained)
}

// gapAt returns the expected seconds between tokens at the load.
func (e *endpoint) gapAt(load float64) float64 {
	if e.gap == 0 {
		return unknownGap
	}
	return e.gap * (load + batchOffset) / (e.gapLoad + batchOffset)
}

func (e *endpoint) prefillSpeed() float64 {
	if e.prefill == 0 {
		return unknownPrefill
	}
	return e.prefill
}

// seconds returns the time that a run adds on the endpoint, its own and that of the runs beside it.
func (e *endpoint) seconds(load, tokens, prefill float64, peers int) float64 {
	slope := e.gapAt(0) / batchOffset
	run := tokens * (e.gapAt(load+1) + load*slope)
	pending := prefill + e.ownPrefill*float64(peers)
	return run + pending*e.prefillSpeed()
}

func learn(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += learnWeight * (sample - *mean)
}

// seen learns from the gap between tokens of a run at the load.
func (e *endpoint) seen(gap time.Duration, load float64) {
	if gap <= 0 {
		return
	}
	if e.gap > 0 && gap.Seconds() > slowFactor*e.gapAt(load) {
		e.trust *= 1 - (1-trustKept)*learnWeight
	}
	learn(&e.gap, gap.Seconds())
	learn(&e.gapLoad, load)
}

// fail suspects the endpoint for longer at each failure in a row.
func (e *endpoint) fail(now time.Time) {
	pause := min(firstSuspicion<<min(e.failures, 6), longestSuspicion)
	e.failures++
	e.suspectUntil(now.Add(pause))
}

func (e *endpoint) suspectUntil(until time.Time) {
	if until.After(e.suspect) {
		e.suspect = until
	}
}

// usable reports whether the endpoint may get new work at all.
func (e *endpoint) usable(now time.Time) bool {
	return !e.left && e.State != dotterelpulley.EndpointLeaving && !now.Before(e.suspect)
}

// version returns the version that the request would run on, "" at an endpoint without versions.
func (e *endpoint) version(ask *Criteria) (dotterelpulley.VersionID, bool) {
	if ask.Version != "" {
		return ask.Version, e.Serves(ask.Version)
	}
	if len(e.Versions) == 0 {
		return "", true
	}
	for _, v := range e.Versions {
		if !slices.Contains(ask.ExcludedVersions, v) {
			return v, true
		}
	}
	return "", false
}

// room reports whether one more request fits beside the load when the reserve stays free.
func (e *endpoint) room(load, reserve float64) bool {
	return load+1 <= math.Max(1, e.limit*(1-reserve))
}
