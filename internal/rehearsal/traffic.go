package rehearsal

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
)

type route struct {
	id   dotterelpulley.RouteID
	tier dotterelpulley.Tier
	part float64
	// length is how many times longer than the shortest its prompts are.
	length float64
}

func routes() []route {
	return []route{
		{"advisory", dotterelpulley.TierUrgent, 0.6, 1},
		{"season-plan", dotterelpulley.TierPlanned, 0.3, 20},
		{"parcel-check", dotterelpulley.TierInteractive, 0.1, 3},
	}
}

// badRoute is the route that a version with one bad route fails on.
const badRoute = "parcel-check"

const (
	baseFailures     = 0.003
	overloadFailures = 0.2
	baseFirstToken   = 80 * time.Millisecond
	baseBetween      = 12 * time.Millisecond
	slowFactor       = 2.0
)

// loadAt returns the part of the slots that is taken: it swings over a minute.
func (w *world) loadAt(at time.Duration) float64 {
	load := 0.55 + 0.3*math.Sin(2*math.Pi*at.Seconds()/60)
	if holds(w.script.overloads, at) {
		load = 1.3
	}
	return load
}

// outcome returns how a request goes, and whether the version's own fault harmed it.
func (w *world) outcome(e *engine, rt route, fresh bool, at time.Duration) (s assessor.Sample, harmed bool) {
	load := max(0, w.loadAt(at)+0.15*w.random.NormFloat64())
	s.Cell = assessor.Cell{Route: rt.id, Tier: rt.tier, Generation: e.Generation, Load: assessor.BandOf(load)}
	failures := baseFailures
	if load > 1.1 {
		failures = overloadFailures
	}
	s.Failed = w.random.Float64() < failures
	slow := 1.0
	if fresh {
		failed, factor := w.harm(rt, load, at)
		s.Failed = s.Failed || failed
		slow, harmed = factor, failed || factor > 1
	}
	s.FirstToken = spread(w.random, baseFirstToken, rt.length*e.slowness*(1+load)*slow, 0.4)
	s.BetweenTokens = spread(w.random, baseBetween, e.slowness*(1+load)*slow, 0.15)
	return s, harmed
}

func (w *world) harm(rt route, load float64, at time.Duration) (failed bool, slower float64) {
	late := !w.exposedAt.IsZero() && at > w.exposedAt.Sub(w.began)+w.script.badFrom
	chance := w.random.Float64()
	switch w.c.Fault {
	case FailsAtOnce:
		return chance < 0.5, 1
	case FailsLater:
		return late && chance < 0.5, 1
	case FailsUnderLoad:
		return load > 0.75 && chance < 0.4, 1
	case FailsOnRoute:
		return rt.id == badRoute && chance < 0.6, 1
	case FailsSeldom:
		return chance < 0.125, 1
	case SlowAtOnce:
		return false, slowFactor
	case SlowLater:
		if late {
			return false, slowFactor
		}
	case Good, GoodUnderOverload, faultCount:
	}
	return false, 1
}

func spread(r *rand.Rand, base time.Duration, times, deviation float64) time.Duration {
	return time.Duration(float64(base) * times * math.Exp(deviation*r.NormFloat64()))
}

func pick(r *rand.Rand) route {
	at := r.Float64()
	all := routes()
	for _, rt := range all {
		if at < rt.part {
			return rt
		}
		at -= rt.part
	}
	return all[0]
}
