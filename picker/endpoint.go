package picker

import (
	"math"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// reportHalfLife is the age at which the weight of a report has halved.
	reportHalfLife = 4 * time.Second
	// reportSlack is the factor by which own requests in flight may exceed a report before it counts as wrong.
	reportSlack = 1.2
	// trustRetained is the fraction of the trust in an endpoint that remains when a report is contradicted.
	trustRetained = 0.5
	// trustGain is added to the trust for each consistent report.
	trustGain = 0.02
	// peerSimilarity is the fraction of this host's change in load since a report that each other host is assumed to share.
	peerSimilarity = 0.5
	// slowFactor is the ratio to the expected gap from which a gap counts as evidence against the report.
	slowFactor = 2
	// sampleWeight is the weight of one sample in the moving averages.
	sampleWeight = 0.1
	// batchOffset is the load at which a step takes twice as long as for an empty batch.
	batchOffset = 16
	// defaultGap and defaultPrefill are the seconds per token of an endpoint without a sample.
	defaultGap     = 0.02
	defaultPrefill = 0.0001
	// minPrefillTokens is the smallest prompt that updates the prefill time.
	minPrefillTokens = 64

	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 30 * time.Second
	refusalPause = 250 * time.Millisecond
)

// Report is the load that an endpoint reports.
type Report struct {
	Running    int
	Waiting    int
	MeasuredAt time.Time
}

// endpoint is the picker's state of one endpoint.
type endpoint struct {
	dotterelpulley.Endpoint
	limit          float64
	leaving        bool
	suspectedUntil time.Time
	// failures is the number of consecutive failed runs.
	failures int

	ownInflight int
	ownPrefill  float64
	ownHistory  history

	reported bool
	report   Report
	trust    float64

	// gap is the mean number of seconds between tokens, measured at the mean load gapLoad.
	gap     float64
	gapLoad float64
	// prefill is the mean number of seconds per prompt token.
	prefill float64
}

// load returns the estimated number of requests of all hosts on the endpoint.
func (e *endpoint) load(now time.Time, hostCount int) float64 {
	own := float64(e.ownInflight)
	extrapolated := own * float64(hostCount)
	if !e.reported || e.trust < 0.01 {
		return extrapolated
	}
	ownThen := float64(e.ownHistory.at(e.report.MeasuredAt))
	total := math.Max(float64(e.report.Running+e.report.Waiting), ownThen)
	hosts := float64(hostCount)
	if ownThen > 0 {
		hosts = math.Min(math.Max(total/ownThen, 1), hosts)
	}
	corrected := math.Max(total+(own-ownThen)*(1+(hosts-1)*peerSimilarity), own)
	weight := e.trust * e.freshness(now)
	return math.Max(own, weight*corrected+(1-weight)*extrapolated)
}

func (e *endpoint) freshness(now time.Time) float64 {
	age := now.Sub(e.report.MeasuredAt)
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}

// applyReport stores a report and adjusts the trust by comparing it with the own requests in flight at that time.
func (e *endpoint) applyReport(now time.Time, r Report) {
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
	ownThen := float64(e.ownHistory.at(r.MeasuredAt))
	ownBefore := float64(e.ownHistory.at(r.MeasuredAt.Add(-historyStep)))
	if math.Min(ownThen, ownBefore) > reportSlack*float64(r.Running+r.Waiting)+1 {
		e.trust *= trustRetained
		return
	}
	e.trust = math.Min(1, e.trust+trustGain)
}

// gapAt returns the expected seconds between tokens at the load.
func (e *endpoint) gapAt(load float64) float64 {
	if e.gap == 0 {
		return defaultGap
	}
	return e.gap * (load + batchOffset) / (e.gapLoad + batchOffset)
}

func (e *endpoint) prefillPerToken() float64 {
	if e.prefill == 0 {
		return defaultPrefill
	}
	return e.prefill
}

// addedSeconds returns the time that a run takes on the endpoint plus the delay that it adds to concurrent runs.
func (e *endpoint) addedSeconds(load, tokens, prefill float64, hostCount int) float64 {
	slope := e.gapAt(0) / batchOffset
	run := tokens * (e.gapAt(load+1) + load*slope)
	pending := prefill + e.ownPrefill*float64(hostCount)
	return run + pending*e.prefillPerToken()
}

func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += sampleWeight * (sample - *mean)
}

// observeGap updates the averages with the gap between tokens of a run at the load.
func (e *endpoint) observeGap(gap time.Duration, load float64) {
	if gap <= 0 {
		return
	}
	if e.gap > 0 && gap.Seconds() > slowFactor*e.gapAt(load) {
		e.trust *= 1 - (1-trustRetained)*sampleWeight
	}
	updateMean(&e.gap, gap.Seconds())
	updateMean(&e.gapLoad, load)
}

// recordFailure suspects the endpoint, twice as long after each consecutive failure.
func (e *endpoint) recordFailure(now time.Time) {
	pause := min(minSuspicion<<min(e.failures, 6), maxSuspicion)
	e.failures++
	e.suspectUntil(now.Add(pause))
}

func (e *endpoint) suspectUntil(until time.Time) {
	if until.After(e.suspectedUntil) {
		e.suspectedUntil = until
	}
}

// usable reports whether the endpoint may get new work at all.
func (e *endpoint) usable(now time.Time) bool {
	return !e.leaving && e.State != dotterelpulley.EndpointLeaving && !now.Before(e.suspectedUntil)
}

// version returns the version that the request would run on, empty at an endpoint without versions.
func (e *endpoint) version(criteria *Criteria) (dotterelpulley.VersionID, bool) {
	if criteria.Version != "" {
		return criteria.Version, e.Serves(criteria.Version)
	}
	if len(e.Versions) == 0 {
		return "", true
	}
	for _, v := range e.Versions {
		if !slices.Contains(criteria.ExcludedVersions, v) {
			return v, true
		}
	}
	return "", false
}

// hasRoom reports whether the limit less the reserve has room for one more request.
func (e *endpoint) hasRoom(load, reserve float64) bool {
	return load+1 <= math.Max(1, e.limit*(1-reserve))
}
