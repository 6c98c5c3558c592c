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
	// DefaultFalseAlarmRate bounds the probability with which one host takes a good version for bad in one step.
	DefaultFalseAlarmRate = 0.0005
	// minRate is the failure rate that any version may have.
	minRate = 0.02
	// minSlow is the part of slow requests that any version may have.
	minSlow = 0.1
	// minReference is how many requests of the old version make a reference.
	minReference = 20
	// slowTail is the part of the old version's requests that may be slower than the threshold.
	slowTail = 0.05
	// slowBuckets is how many buckets beyond that threshold count as slow: 1.4 times as long.
	slowBuckets = 2
	// minPerRoute is how many requests of a step prove the busiest route; a rarer one needs fewer in proportion.
	minPerRoute = 12
	// minOnRareRoute is how many requests of a step prove the rarest route.
	minOnRareRoute = 3
	// calmPart is the part of the limit beneath which evidence is good enough to go on.
	calmPart = 0.3
)

// Assessor judges evidence; the zero value uses the defaults.
type Assessor struct {
	// FalseAlarmRate bounds the probability of a false alarm in one step; DefaultFalseAlarm if zero.
	FalseAlarmRate float64
}

// Assessment is what evidence shows of a new version.
type Assessment struct {
	Requests int
	Failures int
	Bad      bool
	// EnoughEvidence says that every route of the old version has had enough requests of the new one, and none look bad.
	EnoughEvidence bool
	Reason         string
}

type measure int

const (
	measureFailures measure = iota
	measureFirstToken
	measureBetweenTokens
	measureCount
)

var measureNames = [measureCount]string{"failures", "slow first tokens", "slow tokens"}

// scope tells which cells are judged together.
type scope int

const (
	scopeAll scope = iota
	scopeRoute
	scopeGeneration
	scopeLoad
	scopeCell
	scopeCount
)

// group is a set of cells that are judged together; of the cell, only what the scope names is set.
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
	// bad is the evidence that the version is bad, doubt that it is not proved.
	bad    logRatios
	doubt  logRatios
	trials trials
}

// Assess judges the evidence at that time.
func (a Assessor) Assess(e *Evidence, now time.Time) Assessment {
	groups := a.groups(e)
	limits := a.limits(groups, now.Sub(e.StartedAt))
	worst, excess, calm := group{}, math.Inf(-1), true
	for g, have := range groups {
		calm = calm && have.doubt.mean() < calmPart*limits[g.scope]
		over := have.bad.mean() - limits[g.scope]
		if over > excess || over == excess && less(g, worst) {
			worst, excess = g, over
		}
	}
	result := Assessment{}
	for _, pair := range e.Cells {
		result.Requests += pair.Step.New.Requests
		result.Failures += pair.Step.New.Failures
	}
	if excess >= 0 {
		result.Bad = true
		result.Reason = describe(worst, groups[worst].trials)
		return result
	}
	missing := a.unproved(e)
	result.EnoughEvidence = len(missing) == 0 && result.Requests >= minPerRoute && calm
	result.Reason = fmt.Sprintf("%d requests, %d failures", result.Requests, result.Failures)
	if len(missing) > 0 {
		result.Reason += fmt.Sprintf(", routes not proved: %q", missing)
	}
	return result
}

// limits returns the log ratio at which a group of each scope shows a bad version: the scopes share the
// probability of a false alarm, and so do the groups within one and the windows of recent evidence.
func (a Assessor) limits(groups map[group]*groupEvidence, elapsed time.Duration) [scopeCount]float64 {
	alarm := a.FalseAlarmRate
	if alarm <= 0 {
		alarm = DefaultFalseAlarmRate
	}
	var counts [scopeCount]int
	for g := range groups {
		counts[g.scope]++
	}
	windows := 1 + float64(elapsed/recentWindow)
	var limits [scopeCount]float64
	for s, n := range counts {
		limits[s] = math.Log(float64(scopeCount) * float64(max(1, n)) * windows / alarm)
	}
	return limits
}

// groups collects the ratios of each group of cells.
func (a Assessor) groups(e *Evidence) map[group]*groupEvidence {
	found := map[group]*groupEvidence{}
	ref := newReference(e)
	for cell, pair := range e.Cells {
		if pair.Step.New.Requests == 0 {
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

// unproved returns the routes that the old version serves and the new one has not served enough in this step.
func (a Assessor) unproved(e *Evidence) []dotterelpulley.RouteID {
	old := map[dotterelpulley.RouteID]int{}
	fresh := map[dotterelpulley.RouteID]int{}
	for cell, pair := range e.Cells {
		old[cell.Route] += pair.Old.Requests
		fresh[cell.Route] += pair.Step.New.Requests
	}
	busiest := 0
	for _, n := range old {
		busiest = max(busiest, n)
	}
	var missing []dotterelpulley.RouteID
	for route, n := range old {
		need := max(minOnRareRoute, minPerRoute*n/max(1, busiest))
		if fresh[route] < need {
			missing = append(missing, route)
		}
	}
	slices.Sort(missing)
	return missing
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
