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
	// DefaultFalseAlarm bounds the probability with which one host takes a good version for bad in one step.
	DefaultFalseAlarm = 0.0005
	// minRate is the failure rate that any version may have.
	minRate = 0.02
	// minSlow is the part of slow requests that any version may have.
	minSlow = 0.1
	// unknownRate is tolerated where the old version has not been seen enough.
	unknownRate = 0.25
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
	// calm is the log ratio beneath which evidence is good enough to go on.
	calm = 3
)

// Assessor judges evidence; the zero value uses the defaults.
type Assessor struct {
	// FalseAlarm bounds the probability of a false alarm in one step; DefaultFalseAlarm if zero.
	FalseAlarm float64
}

// Assessment is what evidence shows of a new version.
type Assessment struct {
	Requests int
	Failures int
	Bad      bool
	// Enough says that every route of the old version has had enough requests of the new one, and none look bad.
	Enough bool
	Reason string
}

type measure int

const (
	measureFailures measure = iota
	measureFirstToken
	measureBetweenTokens
	measureCount
)

var measureNames = [measureCount]string{"failures", "slow first tokens", "slow tokens"}

// group is a set of cells that are judged together; an empty route means all.
type group struct {
	measure measure
	route   dotterelpulley.RouteID
	all     bool
	cell    Cell
	recent  bool
}

type groupEvidence struct {
	logs   logRatios
	trials trials
}

// Assess judges the evidence at that time.
func (a Assessor) Assess(e *Evidence, now time.Time) Assessment {
	groups := a.groups(e)
	threshold := a.threshold(len(groups), now.Sub(e.Began))
	worst, worstLog := group{}, math.Inf(-1)
	for g, have := range groups {
		if l := have.logs.mean(); l > worstLog || l == worstLog && less(g, worst) {
			worst, worstLog = g, l
		}
	}
	result := Assessment{}
	for _, pair := range e.Cells {
		result.Requests += pair.New.Requests
		result.Failures += pair.New.Failures
	}
	if worstLog >= threshold {
		result.Bad = true
		result.Reason = describe(worst, groups[worst].trials)
		return result
	}
	missing := a.unproved(e)
	result.Enough = len(missing) == 0 && result.Requests >= minPerRoute && worstLog < calm
	result.Reason = fmt.Sprintf("%d requests, %d failures", result.Requests, result.Failures)
	if len(missing) > 0 {
		result.Reason += fmt.Sprintf(", routes not proved: %q", missing)
	}
	return result
}

func (a Assessor) threshold(groups int, elapsed time.Duration) float64 {
	alarm := a.FalseAlarm
	if alarm <= 0 {
		alarm = DefaultFalseAlarm
	}
	windows := 1 + float64(elapsed/recentWindow)
	return math.Log(float64(max(1, groups)) * windows / alarm)
}

// groups collects the ratios of each cell, each route, and everything together.
func (a Assessor) groups(e *Evidence) map[group]*groupEvidence {
	found := map[group]*groupEvidence{}
	ref := newReference(e)
	for cell, pair := range e.Cells {
		for m := range measureCount {
			for _, recent := range []bool{false, true} {
				tally := &pair.New
				if recent {
					tally = &pair.Recent
				}
				t, known := ref.trials(m, cell, tally)
				if !known || t.requests == 0 {
					continue
				}
				logs := t.logRatios()
				for _, g := range []group{
					{measure: m, cell: cell, recent: recent},
					{measure: m, route: cell.Route, recent: recent},
					{measure: m, all: true, recent: recent},
				} {
					if found[g] == nil {
						found[g] = &groupEvidence{}
					}
					found[g].logs.add(logs)
					found[g].trials.requests += t.requests
					found[g].trials.hits += t.hits
				}
			}
		}
	}
	return found
}

// unproved returns the routes that the old version serves and the new one has not served enough in this step.
func (a Assessor) unproved(e *Evidence) []dotterelpulley.RouteID {
	old := map[dotterelpulley.RouteID]int{}
	fresh := map[dotterelpulley.RouteID]int{}
	for cell, pair := range e.Cells {
		old[cell.Route] += pair.Old.Requests
		fresh[cell.Route] += pair.New.Requests
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
	where := fmt.Sprintf("route %q, tier %s, generation %q, load %s", g.cell.Route, g.cell.Tier, g.cell.Generation, g.cell.Load)
	switch {
	case g.all:
		where = "all routes"
	case g.cell == (Cell{}):
		where = fmt.Sprintf("route %q", g.route)
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
		cmp.Compare(a.route, b.route),
		cmp.Compare(fmt.Sprint(a.cell), fmt.Sprint(b.cell)),
		cmp.Compare(fmt.Sprint(a.all, a.recent), fmt.Sprint(b.all, b.recent)),
	) < 0
}
