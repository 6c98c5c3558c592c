package assessor

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// DefaultFalseAlarmRate bounds the probability that one host judges a good version bad in one step.
	DefaultFalseAlarmRate = 0.0005
	// minFailureRate is the failure rate that is tolerated for any version.
	minFailureRate = 0.02
	// minSlowRate is the fraction of slow requests that is tolerated for any version.
	minSlowRate = 0.1
	// minReferenceRequests is the number of requests of the old version needed for a reference.
	minReferenceRequests = 20
	// slowFraction is the fraction of the old version's latencies that lie above the quantile from which the slow threshold
	// is derived.
	slowFraction = 0.05
	// slowBucketMargin is the number of buckets by which the threshold exceeds that quantile: a factor of 1.4.
	slowBucketMargin = 2
	// minBusiestRouteRequests is the number of requests of the new version in a step after which it is proved on the
	// busiest route; other routes need fewer in proportion to their traffic.
	minBusiestRouteRequests = 12
	// minRouteRequests is the minimum of that number for any route.
	minRouteRequests = 3
	// maxDoubtFraction is the fraction of the limit below which the evidence against a version must stay for it to be
	// proved.
	maxDoubtFraction = 0.3
)

// Assessor assesses evidence; the zero value uses the defaults.
type Assessor struct {
	// FalseAlarmRate bounds the probability of a false alarm in one step; DefaultFalseAlarmRate if zero.
	FalseAlarmRate float64
	// SlowRate is the least fraction of slow requests that is tolerated; minSlowRate if zero.
	SlowRate float64
	// RouteRequests is the number of requests after which a version is proved on its busiest route;
	// minBusiestRouteRequests if zero.
	RouteRequests int
	// SlowBuckets is how far a latency lies above most of the old version's to count as slow, in buckets of the histogram;
	// slowBucketMargin if zero.
	SlowBuckets int
	// Assurance is how far the log ratio of all requests of a step has to lie below zero for a version to be proved. Zero
	// permits ratios somewhat above zero.
	Assurance float64
}

// Assessment is the result for a new version.
type Assessment struct {
	Requests int
	Failures int
	Bad      bool
	// EnoughEvidence is true if every route of the old version has had enough requests on the new one without signs of a
	// bad version.
	EnoughEvidence bool
	// Doubtful is true if the evidence of the requests so far speaks too much against the version for it to be proved.
	Doubtful bool
	Reason   string
}

type measure int

const (
	measureFailures measure = iota
	measureFirstToken
	measureBetweenTokens
	measureCount
)

var measureNames = [measureCount]string{"failures", "slow first tokens", "slow tokens"}

// scope determines which cells are assessed together.
type scope int

const (
	scopeAll scope = iota
	scopeRoute
	scopeGeneration
	scopeLoad
	scopeCell
	scopeCount
)

// group is a set of cells that are assessed together; only the fields of the cell that the scope names are set.
type group struct {
	measure measure
	scope   scope
	cell    Cell
	recent  bool
}

// groupsOf returns the groups that the cell belongs to.
func groupsOf(m measure, c Cell, recent bool) [scopeCount]group {
	return [scopeCount]group{
		{m, scopeAll, Cell{}, recent},
		{m, scopeRoute, Cell{Route: c.Route}, recent},
		{m, scopeGeneration, Cell{Generation: c.Generation}, recent},
		{m, scopeLoad, Cell{Load: c.Load}, recent},
		{m, scopeCell, c, recent},
	}
}

type groupEvidence struct {
	// bad is the evidence that the version is bad, doubt the evidence against it being proved.
	bad    logRatios
	doubt  logRatios
	trials trials
}

// Assess assesses the evidence at the given time.
func (a Assessor) Assess(e *Evidence, now time.Time) Assessment {
	groups := a.groups(e)
	limits := a.limits(groups, now.Sub(e.StartedAt))
	worst, doubted, excess, provable := group{}, group{}, math.Inf(-1), true
	for g, collected := range groups {
		if collected.doubt.mean() >= a.maxDoubt(g, limits) {
			doubted, provable = g, false
		}
		groupExcess := collected.bad.mean() - limits[g.scope]
		if groupExcess > excess || groupExcess == excess && less(g, worst) {
			worst, excess = g, groupExcess
		}
	}
	result := Assessment{}
	for _, evidence := range e.Cells {
		result.Requests += evidence.Step.New.Requests
		result.Failures += evidence.Step.New.Failures
	}
	if excess >= 0 {
		result.Bad = true
		result.Reason = describe(worst, groups[worst].trials)
		return result
	}
	spreadReason := ""
	for _, m := range []struct {
		spread *Spread
		name   string
	}{{&e.FirstToken, "first tokens"}, {&e.BetweenTokens, "tokens"}} {
		bad, doubtful, reason := a.assessSpread(m.spread, m.name, limits)
		if bad {
			result.Bad, result.Reason = true, reason
			return result
		}
		if doubtful {
			provable, spreadReason = false, reason
		}
	}
	result.Doubtful = !provable
	unprovedRoutes := a.unproved(e)
	result.EnoughEvidence = len(unprovedRoutes) == 0 && result.Requests >= a.routeRequests() && provable
	result.Reason = fmt.Sprintf("%d requests, %d failures", result.Requests, result.Failures)
	switch {
	case spreadReason != "":
		result.Reason += ", in doubt for " + spreadReason
	case !provable:
		result.Reason += ", in doubt for " + describe(doubted, groups[doubted].trials)
	}
	if len(unprovedRoutes) > 0 {
		result.Reason += fmt.Sprintf(", routes not proved: %q", unprovedRoutes)
	}
	return result
}

// limits returns, for each scope, the log likelihood ratio from which a group indicates a bad version. The false alarm
// rate is divided among the scopes, the groups of each scope and the windows of recent evidence.
func (a Assessor) limits(groups map[group]*groupEvidence, elapsed time.Duration) [scopeCount]float64 {
	falseAlarmRate := a.FalseAlarmRate
	if falseAlarmRate <= 0 {
		falseAlarmRate = DefaultFalseAlarmRate
	}
	var counts [scopeCount]int
	for g := range groups {
		counts[g.scope]++
	}
	windows := 1 + float64(elapsed/recentWindow)
	var limits [scopeCount]float64
	for s, n := range counts {
		limits[s] = math.Log(float64(scopeCount) * float64(max(1, n)) * windows / falseAlarmRate)
	}
	return limits
}

// groups collects the likelihood ratios of each group of cells.
func (a Assessor) groups(e *Evidence) map[group]*groupEvidence {
	found := map[group]*groupEvidence{}
	ref := newReference(e)
	ref.slowRate, ref.slowBuckets = a.slowRate(), cmp.Or(a.SlowBuckets, slowBucketMargin)
	for cell, evidence := range e.Cells {
		if evidence.Step.New.Requests == 0 {
			continue
		}
		for m := range measureCount {
			for _, recent := range []bool{false, true} {
				if t, known := ref.trials(m, cell, recent); known {
					collect(found, groupsOf(m, cell, recent), t)
				}
			}
		}
	}
	return found
}

func collect(into map[group]*groupEvidence, groups [scopeCount]group, t trials) {
	bad, doubt := t.logRatios(t.tolerated), t.logRatios(t.expected)
	for _, g := range groups {
		if into[g] == nil {
			into[g] = &groupEvidence{}
		}
		into[g].bad.add(bad)
		into[g].doubt.add(doubt)
		into[g].trials.requests += t.requests
		into[g].trials.hits += t.hits
	}
}

// maxDoubt returns the log ratio below which the evidence against a version must stay for it to be proved.
func (a Assessor) maxDoubt(g group, limits [scopeCount]float64) float64 {
	if a.Assurance > 0 && g.scope == scopeAll && !g.recent {
		return -a.Assurance
	}
	return maxDoubtFraction * limits[g.scope]
}

func (a Assessor) slowRate() float64 {
	return cmp.Or(a.SlowRate, minSlowRate)
}

func (a Assessor) routeRequests() int {
	return cmp.Or(a.RouteRequests, minBusiestRouteRequests)
}

// unproved returns the routes of the old version on which the new one has not served enough requests in this step.
func (a Assessor) unproved(e *Evidence) []dotterelpulley.RouteID {
	oldRequests := map[dotterelpulley.RouteID]int{}
	newRequests := map[dotterelpulley.RouteID]int{}
	for cell, evidence := range e.Cells {
		oldRequests[cell.Route] += evidence.Old.Requests
		newRequests[cell.Route] += evidence.Step.New.Requests
	}
	busiest := 0
	for _, n := range oldRequests {
		busiest = max(busiest, n)
	}
	var unprovedRoutes []dotterelpulley.RouteID
	for route, n := range oldRequests {
		required := max(minRouteRequests, a.routeRequests()*n/max(1, busiest))
		if newRequests[route] < required {
			unprovedRoutes = append(unprovedRoutes, route)
		}
	}
	slices.Sort(unprovedRoutes)
	return unprovedRoutes
}

func describe(g group, t trials) string {
	where := "all requests"
	switch g.scope {
	case scopeAll, scopeCount:
	case scopeRoute:
		where = fmt.Sprintf("route %q", g.cell.Route)
	case scopeGeneration:
		where = fmt.Sprintf("generation %q", g.cell.Generation)
	case scopeLoad:
		where = fmt.Sprintf("load %s", g.cell.Load)
	case scopeCell:
		where = fmt.Sprintf("route %q, tier %s, generation %q, load %s", g.cell.Route, g.cell.Tier, g.cell.Generation, g.cell.Load)
	}
	span := "in this step"
	if g.recent {
		span = "of late"
	}
	return fmt.Sprintf("%s: %d of %d requests %s, %s", measureNames[g.measure], t.hits, t.requests, span, where)
}

func less(a, b group) bool {
	return cmp.Or(
		cmp.Compare(a.measure, b.measure),
		cmp.Compare(a.scope, b.scope),
		cmp.Compare(a.cell.Route, b.cell.Route),
		cmp.Compare(a.cell.Tier, b.cell.Tier),
		cmp.Compare(a.cell.Generation, b.cell.Generation),
		cmp.Compare(a.cell.Load, b.cell.Load),
	) < 0
}
