package simulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
)

type route struct {
	id       dotterelpulley.RouteID
	tier     dotterelpulley.Tier
	fraction float64
	// promptScale is the prompt length relative to the route with the shortest prompts.
	promptScale float64
}

func routes() []route {
	return []route{
		{"advisory", dotterelpulley.TierUrgent, 0.6, 1},
		{"season-plan", dotterelpulley.TierPlanned, 0.3, 20},
		{"parcel-check", dotterelpulley.TierInteractive, 0.1, 3},
	}
}

// badRoute is the route on which a version with FailsOnRoute fails.
const badRoute = "parcel-check"

const (
	baseFailureRate     = 0.003
	overloadFailureRate = 0.2
	baseFirstToken      = 80 * time.Millisecond
	baseTokenGap        = 12 * time.Millisecond
	slowFactor          = 2.0
)

// loadAt returns the fraction of slots in use, which oscillates with a period of one minute.
func (sim *simulation) loadAt(at time.Duration) float64 {
	load := 0.55 + 0.3*math.Sin(2*math.Pi*at.Seconds()/60)
	if anyContains(sim.schedule.overloads, at) {
		load = 1.3
	}
	return load
}

// outcome returns the sample of one request, and whether the version's own fault harmed it.
func (sim *simulation) outcome(e *engine, route route, onNewVersion bool, at time.Duration) (s assessor.Sample, harmed bool) {
	load := max(0, sim.loadAt(at)+0.15*sim.random.NormFloat64())
	s.Cell = assessor.Cell{Route: route.id, Tier: route.tier, Generation: e.Generation, Load: assessor.BandOf(load)}
	failureRate := baseFailureRate
	if load > 1.1 {
		failureRate = overloadFailureRate
	}
	s.Failed = sim.random.Float64() < failureRate
	slowdown := 1.0
	if onNewVersion {
		failed, factor := sim.faultEffect(route, load, at)
		s.Failed = s.Failed || failed
		slowdown, harmed = factor, failed || factor > 1
	}
	s.FirstToken = logNormal(sim.random, baseFirstToken, route.promptScale*e.slowdown*(1+load)*slowdown, 0.4)
	s.BetweenTokens = logNormal(sim.random, baseTokenGap, e.slowdown*(1+load)*slowdown, 0.15)
	return s, harmed
}

func (sim *simulation) faultEffect(rt route, load float64, at time.Duration) (failed bool, slowdown float64) {
	faultStarted := !sim.exposedAt.IsZero() && at > sim.exposedAt.Sub(sim.startTime)+sim.schedule.faultDelay
	draw := sim.random.Float64()
	switch sim.testCase.Fault {
	case FailsAtOnce:
		return draw < 0.5, 1
	case FailsLater:
		return faultStarted && draw < 0.5, 1
	case FailsUnderLoad:
		return load > 0.75 && draw < 0.4, 1
	case FailsOnRoute:
		return rt.id == badRoute && draw < 0.6, 1
	case FailsSeldom:
		return draw < 0.125, 1
	case SlowAtOnce:
		return false, slowFactor
	case SlowLater:
		if faultStarted {
			return false, slowFactor
		}
	case Good, GoodUnderOverload, faultCount:
	}
	return false, 1
}

func logNormal(r *rand.Rand, base time.Duration, factor, deviation float64) time.Duration {
	return time.Duration(float64(base) * factor * math.Exp(deviation*r.NormFloat64()))
}

func randomRoute(r *rand.Rand) route {
	remaining := r.Float64()
	all := routes()
	for _, rt := range all {
		if remaining < rt.fraction {
			return rt
		}
		remaining -= rt.fraction
	}
	return all[0]
}
