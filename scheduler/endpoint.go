package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Endpoint is an endpoint that work may be placed on.
type Endpoint struct {
	dotterelpulley.Endpoint
	Version dotterelpulley.VersionID
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// StartedAt is when the endpoint started; another time under the same id is another instance.
	StartedAt time.Time
	// WarmAt is until when the endpoint is slow after its start.
	WarmAt time.Time
}

// isSameInstance reports whether both are the same start of the same endpoint.
func (e Endpoint) isSameInstance(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.StartedAt.Equal(other.StartedAt)
}

const (
	// intervalWeight is the weight of a sample in the moving average of the event interval, which spans about 20 samples.
	intervalWeight = 0.05
	// prefillWeight is the weight of a sample in the moving average of the prefill time, which spans about 7 samples.
	prefillWeight = 0.15
	// minPrefillTokens is the smallest prompt that updates the prefill time, as the first step takes time of its own.
	minPrefillTokens = 800
	// firstStepTime is the approximate time to the first event without a prompt.
	firstStepTime = 20 * time.Millisecond
	// failureWeight is the weight of a run's result in the moving average of the failure rate.
	failureWeight = 0.15
	// failurePenalty is the relative increase of the score of an endpoint with a failure rate of 1.
	failurePenalty = 20
	// refusalPause blocks an endpoint after it reported that it is full, for about the time in which a few runs end.
	refusalPause = 60 * time.Millisecond
	// brittleRefusalPause blocks an endpoint that was full although this host kept to its places, as many refusals make it fail.
	brittleRefusalPause = time.Second
	// minUnreachablePause and maxUnreachablePause bound the exponential delay before an unreachable endpoint is tried again.
	minUnreachablePause = 400 * time.Millisecond
	maxUnreachablePause = 3 * time.Second
	// reportedDeadPause blocks an endpoint that another host reports as dead, until some time after that host's next report.
	reportedDeadPause = 500 * time.Millisecond
	// wrongInstancePause blocks an endpoint whose address belongs to another instance, until its registration expires or is renewed.
	wrongInstancePause = 5 * time.Second
	// silenceTimeout is the time without an event of any run after which an endpoint is blocked, several times the longest step.
	silenceTimeout = 700 * time.Millisecond
	// defaultReportDelay is the time until other hosts know of a placement where they aren't told of changes: the interval
	// between reports and the network delay.
	defaultReportDelay = 120 * time.Millisecond
	// peerPlacementFraction is the assumed ratio of each other host's unreported placements to this host's own.
	peerPlacementFraction = 0.5
	// peerMeanTime is the time over which the peers' runs are averaged.
	peerMeanTime = time.Second
	// defaultSlots applies to an endpoint that does not report its slots.
	defaultSlots = 4
)

// endpoint is the state that this host keeps of an endpoint.
type endpoint struct {
	Endpoint
	key uint32
	// running counts this host's own runs; pendingPrompt sums the prompt tokens of those without a first event.
	running       int
	pendingPrompt dotterelpulley.Tokens
	// streaming counts the runs that have had their first event.
	streaming int
	peerLoad  Load
	// peerMean is the moving average of the peers' runs, as of peerMeanAt.
	peerMean   float64
	peerMeanAt time.Time
	// runTime is the average time that a run holds its slot; zero if unknown.
	runTime time.Duration
	// eventInterval is the average time per event, or per plain answer, of one run in a batch; zero if unknown.
	eventInterval   time.Duration
	intervalSamples int
	// peerPace is what the other hosts measure.
	peerPace Pace
	// prefillPerToken is the average time per prompt token from dispatch to the first event; zero if unknown.
	prefillPerToken time.Duration
	failureRate     float64
	// blockedUntil is when the endpoint may get work again.
	blockedUntil time.Time
	// pausedUntil is when the endpoint wants requests from this host again.
	pausedUntil      time.Time
	allowance        allowanceState
	unreachableCount int
	// deadUntil is how long this host reports to the others that the endpoint refuses connections.
	deadUntil time.Time
	// lastActivity is when an event of one of this host's runs last showed that the endpoint is alive.
	lastActivity time.Time
	// recentPlacements and recentPrompt are exponentially decayed sums of this host's own placements as of recentAt.
	recentPlacements float64
	recentPrompt     float64
	recentAt         time.Time
	// available and expected are computed for each decision: whether the endpoint may get work, and its expected backlog.
	available bool
	expected  backlog
}

// EndpointKey returns the hash that identifies an endpoint in host reports.
func EndpointKey(id dotterelpulley.EndpointID) uint32 {
	return hashKey(string(id))
}

// ServiceKey returns the hash that identifies a service in host reports.
func ServiceKey(id dotterelpulley.ServiceID) uint32 {
	return hashKey(string(id))
}

// hashKey returns the hash that identifies a service or an endpoint in host reports.
func hashKey(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

func (e *endpoint) slots() int {
	if e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

func (e *endpoint) load() int {
	return e.running + e.peerLoad.Running
}

func (e *endpoint) usable(now time.Time) bool {
	return e.State == dotterelpulley.EndpointLive && !now.Before(e.blockedUntil) && !now.Before(e.pausedUntil) && !e.silent(now)
}

// accepts reports whether this host may place one more request on the endpoint now.
func (e *endpoint) accepts(now time.Time) bool {
	return e.usable(now) && e.allowance.admits(now, e.running)
}

// silent reports whether no event has come from the endpoint for too long although it runs requests of this host.
func (e *endpoint) silent(now time.Time) bool {
	return e.running > 0 && e.streaming > 0 && now.Sub(e.lastActivity) > silenceTimeout
}

// backlog is the estimated work of all hosts on an endpoint.
type backlog struct {
	runs float64
	// promptTokens is the number of prompt tokens still to be prefilled.
	promptTokens float64
}

// unseenPeers describes the other hosts, whose latest placements this host doesn't know.
type unseenPeers struct {
	count int
	// delay is the time until a placement is known.
	delay time.Duration
	// age is the mean age of what they reported.
	age time.Duration
}

func (s *Scheduler) unseenPeers(now time.Time) unseenPeers {
	p := unseenPeers{delay: s.reportDelay(), age: s.reportAge(now)}
	if s.uses(UnseenPlacements) {
		p.count = len(s.hostReports)
	}
	return p
}

// reportAge returns the mean age of what the other hosts reported.
func (s *Scheduler) reportAge(now time.Time) time.Duration {
	if s.hearsAllChanges() {
		return s.ReportDelay
	}
	if len(s.hostReports) == 0 || !s.uses(ReportAgeing) {
		return 0
	}
	sum := time.Duration(0)
	for _, h := range s.hostReports {
		sum += now.Sub(h.receivedAt)
	}
	return sum / time.Duration(len(s.hostReports))
}

func (s *Scheduler) reportDelay() time.Duration {
	if s.ReportDelay > 0 {
		return s.ReportDelay
	}
	return defaultReportDelay
}

// estimateBacklog returns the known backlog plus what the other hosts may have placed since their last reports: each
// a fraction of this host's own placements.
func (e *endpoint) estimateBacklog(now time.Time, others unseenPeers) backlog {
	b := backlog{runs: float64(e.running) + e.peerRuns(others.age), promptTokens: float64(e.pendingPrompt + e.peerLoad.Prompt)}
	if e.recentPlacements == 0 || others.count == 0 {
		return b
	}
	unreported := e.placementDecay(now, others.delay) * float64(others.count) * peerPlacementFraction
	b.runs += e.recentPlacements * unreported
	b.promptTokens += e.recentPrompt * unreported
	return b
}

// peerRuns returns the expected number of runs of other hosts, given the age of their reports: what they reported as far as
// those runs may go on, and their average beyond. Of calls that take less time than reports, a report says little.
func (e *endpoint) peerRuns(age time.Duration) float64 {
	reported := float64(e.peerLoad.Running)
	if e.runTime <= 0 {
		return reported
	}
	return e.peerMean + (reported-e.peerMean)*math.Exp(-age.Seconds()/e.runTime.Seconds())
}

// averagePeers updates the moving average of the peers' runs.
func (e *endpoint) averagePeers(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(e.peerMeanAt).Seconds()/peerMeanTime.Seconds())
	e.peerMean += weight * (float64(e.peerLoad.Running) - e.peerMean)
	e.peerMeanAt = now
}

// observeRun updates the run time with that of a run.
func (e *endpoint) observeRun(elapsed time.Duration) {
	if e.runTime == 0 {
		e.runTime = elapsed
		return
	}
	e.runTime += time.Duration(intervalWeight * float64(elapsed-e.runTime))
}

// placementDecay returns the share of this host's recent placements that still counts as unreported and running.
func (e *endpoint) placementDecay(now time.Time, delay time.Duration) float64 {
	rate := 1 / delay.Seconds()
	if e.runTime > 0 {
		rate += 1 / e.runTime.Seconds()
	}
	return math.Exp(-now.Sub(e.recentAt).Seconds() * rate)
}

// addPlacement records a placement of this host.
func (e *endpoint) addPlacement(now time.Time, delay time.Duration, prompt dotterelpulley.Tokens) {
	decay := e.placementDecay(now, delay)
	e.recentPlacements = e.recentPlacements*decay + 1
	e.recentPrompt = e.recentPrompt*decay + float64(prompt)
	e.recentAt = now
}

func (e *endpoint) block(until time.Time) {
	if until.After(e.blockedUntil) {
		e.blockedUntil = until
	}
}

// recordResult updates the endpoint's state with the result of a run.
func (e *endpoint) recordResult(now time.Time, r Result) {
	switch r {
	case ResultCompleted:
		e.unreachableCount, e.deadUntil = 0, time.Time{}
		e.failureRate -= failureWeight * e.failureRate
	case ResultRefused:
		pause := refusalPause
		if e.allowance.PlacesLimited {
			pause = brittleRefusalPause
		}
		e.block(now.Add(pause))
	case ResultFailed:
		e.failureRate += failureWeight * (1 - e.failureRate)
	case ResultWrongInstance:
		e.block(now.Add(wrongInstancePause))
	case ResultUnreachable, ResultDead:
		e.unreachableCount++
		e.block(now.Add(min(minUnreachablePause<<min(e.unreachableCount-1, 4), maxUnreachablePause)))
		if r == ResultDead {
			e.deadUntil = e.blockedUntil
		}
	case ResultCancelled:
	}
}

// observeInterval updates the event interval with the time of one event or plain answer.
func (e *endpoint) observeInterval(interval time.Duration) {
	e.intervalSamples++
	if e.eventInterval == 0 {
		e.eventInterval = interval
		return
	}
	e.eventInterval += time.Duration(intervalWeight * float64(interval-e.eventInterval))
}

// observePrefill updates the prefill time with the time to a run's first event and all tokens prefilled before it.
func (e *endpoint) observePrefill(elapsed time.Duration, tokens dotterelpulley.Tokens) {
	if tokens < minPrefillTokens {
		return
	}
	sample := max(elapsed-firstStepTime, 0) / time.Duration(tokens)
	if e.prefillPerToken == 0 {
		e.prefillPerToken = sample
		return
	}
	e.prefillPerToken += time.Duration(prefillWeight * float64(sample-e.prefillPerToken))
}
