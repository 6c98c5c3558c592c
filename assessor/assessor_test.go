package assessor

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTheSequentialTestKeepsItsFalseAlarmRate(t *testing.T) {
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
		var tr trials
		for range length {
			tr.requests++
			if r.Float64() < minRate {
				tr.hits++
			}
			if logs := tr.logRatios(minRate); logs.mean() >= -math.Log(limit) {
				alarms++
				break
			}
		}
	}
	t.Logf("seed %d: %d alarms in %d streams of %d requests, %g is the bound", seed, alarms, streams, length, limit)
	c.Check(float64(alarms) <= limit*streams, qt.IsTrue, qt.Commentf("%d alarms", alarms))
}

// scene is traffic of two versions with what each condition does to them.
type scene struct {
	// fails returns the rate of failures, and slow how many times slower the version is.
	fails func(fresh bool, s Sample) float64
	slow  func(fresh bool, s Sample) float64
}

func steady(fails, slow float64) scene {
	return scene{
		fails: func(fresh bool, _ Sample) float64 {
			if fresh {
				return fails
			}
			return 0.003
		},
		slow: func(fresh bool, _ Sample) float64 {
			if fresh {
				return slow
			}
			return 1
		},
	}
}

// assess runs the scene until the verdict is bad or the requests are through.
func (sc scene) assess(seed uint64, requests int) (Assessment, int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var e Evidence
	e.BeginExposure(Exposure{Note: "n", Service: "s", Step: 1, Old: "1", New: "2"}, began)
	var a Assessment
	fresh := 0
	for i := range requests {
		now := began.Add(time.Duration(i) * 20 * time.Millisecond)
		version, isNew := dotterelpulley.VersionID("1"), r.IntN(10) == 0
		if isNew {
			version = "2"
			fresh++
		}
		s := Sample{Cell: Cell{Route: "a", Tier: dotterelpulley.TierStandard, Generation: "fast", Load: Band(r.IntN(bandCount))}}
		if r.IntN(4) == 0 {
			s.Route = "b"
		}
		between := 10 * time.Millisecond
		if r.IntN(3) == 0 {
			s.Generation, between = "slow", 30*time.Millisecond
		}
		s.Failed = r.Float64() < sc.fails(isNew, s)
		s.BetweenTokens = time.Duration(float64(between) * (0.8 + 0.4*r.Float64()) * sc.slow(isNew, s))
		s.FirstToken = 10 * s.BetweenTokens
		e.Add(version, s, now)
		if i%50 == 49 {
			e.Refresh(now)
			if a = (Assessor{}).Assess(&e, now); a.Bad {
				break
			}
		}
	}
	return a, fresh
}

func TestVersionsAreJudged(t *testing.T) {
	overload := scene{
		fails: func(_ bool, s Sample) float64 { return []float64{0.003, 0.02, 0.4}[s.Load] },
		slow:  func(_ bool, s Sample) float64 { return []float64{1, 1.5, 4}[s.Load] },
	}
	slowGeneration := steady(0.003, 1)
	slowGeneration.slow = func(_ bool, s Sample) float64 {
		if s.Generation == "slow" {
			return 5
		}
		return 1
	}
	underLoad := steady(0.003, 1)
	underLoad.fails = func(fresh bool, s Sample) float64 {
		if fresh && s.Load == BandFull {
			return 0.5
		}
		return 0.003
	}
	onRoute := steady(0.003, 1)
	onRoute.fails = func(fresh bool, s Sample) float64 {
		if fresh && s.Route == "b" {
			return 0.5
		}
		return 0.003
	}
	for _, row := range []struct {
		name   string
		scene  scene
		bad    bool
		reason string
	}{
		{"good", steady(0.003, 1), false, ""},
		{"a little slower", steady(0.003, 1.1), false, ""},
		{"overload of all", overload, false, ""},
		{"a slow generation", slowGeneration, false, ""},
		{"fails half", steady(0.5, 1), true, "failures: .*"},
		{"fails a tenth", steady(0.1, 1), true, "failures: .*"},
		{"twice as slow", steady(0.003, 2), true, "slow .*"},
		{"only under load", underLoad, true, `failures: .*load full`},
		{"only on one route", onRoute, true, `failures: .*route "b".*`},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(8) {
				a, fresh := row.scene.assess(seed, 20_000)
				note := qt.Commentf("seed %d after %d requests: %s", seed, fresh, a.Reason)
				c.Check(a.Bad, qt.Equals, row.bad, note)
				if row.bad {
					c.Check(a.Reason, qt.Matches, row.reason, note)
				} else {
					c.Check(a.EnoughEvidence, qt.IsTrue, note)
				}
			}
		})
	}
}

func TestARouteWithoutCanaryRequestsIsNotProved(t *testing.T) {
	c := qt.New(t)
	var e Evidence
	e.BeginExposure(Exposure{Step: 1, Old: "1", New: "2"}, began)
	for i := range 200 {
		e.Add("1", Sample{Cell: Cell{Route: dotterelpulley.RouteID("ab"[i%2 : i%2+1])}}, began)
		e.Add("2", Sample{Cell: Cell{Route: "a"}}, began)
	}
	e.Refresh(began)
	a := Assessor{}.Assess(&e, began)
	c.Check(a.EnoughEvidence, qt.IsFalse)
	c.Check(a.Reason, qt.Matches, `.*routes not proved: \["b"\]`)
	e.BeginExposure(Exposure{Step: 2, Old: "1", New: "2"}, began)
	c.Check((Assessor{}).Assess(&e, began).Requests, qt.Equals, 0)
}

func TestEvidenceSurvivesTheCodec(t *testing.T) {
	c := qt.New(t)
	e := Evidence{Exposure: Exposure{Note: "n", Service: "s", Step: 2, Old: "1", New: "2"}, StartedAt: began}
	pair := e.pair(Cell{Route: "r", Tier: 3, Generation: "g", Load: BandFull})
	for i, tally := range []*Tally{&pair.Old, &pair.Step.Old, &pair.Step.New, &pair.Recent.Old, &pair.Recent.New} {
		tally.Requests, tally.Failures = i+2, i+1
		tally.FirstToken.Add(time.Duration(i+1) * time.Second)
		tally.BetweenTokens.Add(time.Duration(i+1) * time.Millisecond)
	}
	data, err := EncodeReport(Report{Evidence: []*Evidence{&e}, BadVersions: [][]byte{[]byte("x")}})
	c.Assert(err, qt.IsNil)
	back, err := DecodeReport(data)
	c.Assert(err, qt.IsNil)
	c.Check(back.BadVersions, qt.DeepEquals, [][]byte{[]byte("x")})
	c.Assert(back.Evidence, qt.HasLen, 1)
	c.Check(back.Evidence[0].Exposure, qt.Equals, e.Exposure)
	c.Check(back.Evidence[0].Cells, qt.DeepEquals, e.Cells)
}
