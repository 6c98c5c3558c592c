package assessor

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

var startedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSequentialTestStaysBelowItsFalseAlarmRate(t *testing.T) {
	const (
		streams = 4000
		length  = 1000
		limit   = 0.01
		seed    = 11
	)
	c := qt.New(t)
	r := rand.New(rand.NewPCG(seed, 0))
	alarms := 0
	for range streams {
		var outcomes trials
		for range length {
			outcomes.requests++
			if r.Float64() < minFailureRate {
				outcomes.hits++
			}
			if logs := outcomes.logRatios(minFailureRate); logs.mean() >= -math.Log(limit) {
				alarms++
				break
			}
		}
	}
	t.Logf("seed %d: %d alarms in %d streams of %d requests, %g is the bound", seed, alarms, streams, length, limit)
	c.Check(float64(alarms) <= limit*streams, qt.IsTrue, qt.Commentf("%d alarms", alarms))
}

// scenario defines how the conditions of a request affect either version.
type scenario struct {
	// failureRate returns the rate of failures, slowdown the factor by which the version is slower.
	failureRate func(isNew bool, s Sample) float64
	slowdown    func(isNew bool, s Sample) float64
}

func uniform(failureRate, slowdown float64) scenario {
	return scenario{
		failureRate: func(isNew bool, _ Sample) float64 {
			if isNew {
				return failureRate
			}
			return 0.003
		},
		slowdown: func(isNew bool, _ Sample) float64 {
			if isNew {
				return slowdown
			}
			return 1
		},
	}
}

// assess runs the scenario until the version is judged bad or all requests are done.
func (sc scenario) assess(seed uint64, requests int) (Assessment, int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var e Evidence
	e.BeginExposure(Exposure{Note: "n", Service: "s", Step: 1, Old: "1", New: "2"}, startedAt)
	var a Assessment
	newRequests := 0
	for i := range requests {
		now := startedAt.Add(time.Duration(i) * 20 * time.Millisecond)
		version, isNew := dotterelpulley.VersionID("1"), r.IntN(10) == 0
		if isNew {
			version = "2"
			newRequests++
		}
		s := Sample{Cell: Cell{Route: "a", Tier: dotterelpulley.TierStandard, Generation: "fast", Load: Band(r.IntN(bandCount))}}
		if r.IntN(4) == 0 {
			s.Route = "b"
		}
		between := 10 * time.Millisecond
		if r.IntN(3) == 0 {
			s.Generation, between = "slow", 30*time.Millisecond
		}
		s.Failed = r.Float64() < sc.failureRate(isNew, s)
		s.BetweenTokens = time.Duration(float64(between) * (0.8 + 0.4*r.Float64()) * sc.slowdown(isNew, s))
		s.FirstToken = 10 * s.BetweenTokens
		e.Add(version, s, now)
		if i%50 == 49 {
			e.Refresh(now)
			if a = (Assessor{}).Assess(&e, now); a.Bad {
				break
			}
		}
	}
	return a, newRequests
}

func TestAssessDetectsBadVersions(t *testing.T) {
	overload := scenario{
		failureRate: func(_ bool, s Sample) float64 { return []float64{0.003, 0.02, 0.4}[s.Load] },
		slowdown:    func(_ bool, s Sample) float64 { return []float64{1, 1.5, 4}[s.Load] },
	}
	slowGeneration := uniform(0.003, 1)
	slowGeneration.slowdown = func(_ bool, s Sample) float64 {
		if s.Generation == "slow" {
			return 5
		}
		return 1
	}
	underLoad := uniform(0.003, 1)
	underLoad.failureRate = func(isNew bool, s Sample) float64 {
		if isNew && s.Load == BandFull {
			return 0.5
		}
		return 0.003
	}
	onRoute := uniform(0.003, 1)
	onRoute.failureRate = func(isNew bool, s Sample) float64 {
		if isNew && s.Route == "b" {
			return 0.5
		}
		return 0.003
	}
	for _, row := range []struct {
		name     string
		scenario scenario
		bad      bool
		reason   string
	}{
		{"good", uniform(0.003, 1), false, ""},
		{"a little slower", uniform(0.003, 1.1), false, ""},
		{"overload of all", overload, false, ""},
		{"a slow generation", slowGeneration, false, ""},
		{"fails half", uniform(0.5, 1), true, "failures: .*"},
		{"fails a tenth", uniform(0.1, 1), true, "failures: .*"},
		{"twice as slow", uniform(0.003, 2), true, "slow .*"},
		{"only under load", underLoad, true, `failures: .*load full`},
		{"only on one route", onRoute, true, `failures: .*route "b".*`},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(8) {
				a, newRequests := row.scenario.assess(seed, 20_000)
				comment := qt.Commentf("seed %d after %d requests: %s", seed, newRequests, a.Reason)
				c.Check(a.Bad, qt.Equals, row.bad, comment)
				if row.bad {
					c.Check(a.Reason, qt.Matches, row.reason, comment)
				} else {
					c.Check(a.EnoughEvidence, qt.IsTrue, comment)
				}
			}
		})
	}
}

func TestARouteWithoutRequestsOfTheNewVersionIsNotProved(t *testing.T) {
	c := qt.New(t)
	var e Evidence
	e.BeginExposure(Exposure{Step: 1, Old: "1", New: "2"}, startedAt)
	for i := range 200 {
		e.Add("1", Sample{Cell: Cell{Route: dotterelpulley.RouteID("ab"[i%2 : i%2+1])}}, startedAt)
		e.Add("2", Sample{Cell: Cell{Route: "a"}}, startedAt)
	}
	e.Refresh(startedAt)
	a := Assessor{}.Assess(&e, startedAt)
	c.Check(a.EnoughEvidence, qt.IsFalse)
	c.Check(a.Reason, qt.Matches, `.*routes not proved: \["b"\]`)
	e.BeginExposure(Exposure{Step: 2, Old: "1", New: "2"}, startedAt)
	c.Check((Assessor{}).Assess(&e, startedAt).Requests, qt.Equals, 0)
}

func TestEncodedReportsKeepTheirEvidence(t *testing.T) {
	c := qt.New(t)
	e := Evidence{Exposure: Exposure{Note: "n", Service: "s", Step: 2, Old: "1", New: "2"}, StartedAt: startedAt}
	evidence := e.cellEvidence(Cell{Route: "r", Tier: 3, Generation: "g", Load: BandFull})
	for i, tally := range []*Tally{&evidence.Old, &evidence.Step.Old, &evidence.Step.New, &evidence.Recent.Old, &evidence.Recent.New} {
		tally.Requests, tally.Failures = i+2, i+1
		tally.FirstToken.Add(time.Duration(i+1) * time.Second)
		tally.BetweenTokens.Add(time.Duration(i+1) * time.Millisecond)
	}
	data, err := EncodeReport(Report{Evidence: []*Evidence{&e}, BadVersions: [][]byte{[]byte("x")}})
	c.Assert(err, qt.IsNil)
	decoded, err := DecodeReport(data)
	c.Assert(err, qt.IsNil)
	c.Check(decoded.BadVersions, qt.DeepEquals, [][]byte{[]byte("x")})
	c.Assert(decoded.Evidence, qt.HasLen, 1)
	c.Check(decoded.Evidence[0].Exposure, qt.Equals, e.Exposure)
	c.Check(decoded.Evidence[0].Cells, qt.DeepEquals, e.Cells)
}
