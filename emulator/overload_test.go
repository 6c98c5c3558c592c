package emulator_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/emulator"
)

const (
	urgentDemand  = 0.36
	minUrgentGood = 0.99
	maxFirstToken = 740 * time.Millisecond
	maxTokenGap   = 41 * time.Millisecond
	minFairShare  = 0.9
)

var heterogeneousSpeeds = []float64{1, 1, 1, 0.9, 0.9, 0.8, 0.8, 0.7, 0.7, 0.2}

// mixedWorkloads returns workloads of all tiers whose total demand is the factor of the capacity; the urgent demand is fixed.
func mixedWorkloads(factor float64) []emulator.Workload {
	remaining := factor - urgentDemand
	return []emulator.Workload{
		{Organisation: "dealer-a", Tier: dotterelpulley.TierUrgent, Route: "cab-advisory", Prompt: 400, Output: 60, Templates: 8, Demand: urgentDemand},
		{Organisation: "dealer-b", Tier: dotterelpulley.TierInteractive, Route: "parcel-check", Prompt: 300, Output: 40, Templates: 8, Demand: 0.2 * remaining},
		{Organisation: "dealer-c", Tier: dotterelpulley.TierStandard, Route: "door-card", Prompt: 500, Output: 120, Templates: 8, Demand: 0.3 * remaining},
		{Organisation: "dealer-d", Tier: dotterelpulley.TierPlanned, Route: "works-letter", Prompt: 800, Output: 400, Templates: 8, Demand: 0.25 * remaining},
		{Organisation: "dealer-a", Tier: dotterelpulley.TierBackground, Route: "season-plan", Prompt: 2000, Output: 2000, Templates: 4, Demand: 0.25 * remaining},
	}
}

// compare runs both policies and prints their results.
func compare(name string, s emulator.Setup) (naive, routed emulator.Result) {
	naive, routed = emulator.Run(emulator.Naive, s), emulator.Run(emulator.Routed, s)
	_, _ = fmt.Fprintf(os.Stdout, "%s, seed %d, %d entries\n", name, s.Seed, s.EntryHosts)
	emulator.WriteTable(os.Stdout, naive, routed)
	return naive, routed
}

func seeds(count uint64) []uint64 {
	if testing.Short() {
		count = 1
	}
	var values []uint64
	for seed := uint64(1); seed <= count; seed++ {
		values = append(values, seed)
	}
	return values
}

func TestDoubleOverload(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		naive, routed := compare("double overload", emulator.Setup{
			Seed: seed, EntryHosts: 7, Speeds: heterogeneousSpeeds, ReportLag: 2 * time.Second,
			Workloads: mixedWorkloads(2), Duration: time.Minute,
		})
		comment := qt.Commentf("seed %d", seed)
		urgent := routed.Tiers[dotterelpulley.TierUrgent]
		c.Check(urgent.GoodFraction() >= minUrgentGood, qt.IsTrue, comment)
		c.Check(urgent.Shed+urgent.Unreachable, qt.Equals, 0, comment)
		c.Check(routed.Goodput().Good >= naive.Goodput().Good, qt.IsTrue, comment)
		c.Check(2*routed.WastedPrefill <= naive.WastedPrefill, qt.IsTrue, comment)
	}
}

func TestInitialBurst(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		workloads := mixedWorkloads(1)
		for i := range workloads {
			workloads[i].Burst = 60
		}
		workloads[4].Burst = 400
		naive, routed := compare("burst", emulator.Setup{
			Seed: seed, EntryHosts: 7, Speeds: heterogeneousSpeeds, ReportLag: 2 * time.Second,
			Workloads: workloads, Duration: 30 * time.Second,
		})
		comment := qt.Commentf("seed %d", seed)
		urgent := routed.Tiers[dotterelpulley.TierUrgent]
		c.Check(urgent.GoodFraction() >= minUrgentGood, qt.IsTrue, comment)
		c.Check(urgent.Shed+urgent.Unreachable, qt.Equals, 0, comment)
		c.Check(routed.Goodput().Good >= naive.Goodput().Good, qt.IsTrue, comment)
	}
}

func TestEntryHostsDoNotOverloadSameEngine(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(3) {
		for entries := 6; entries <= 8; entries++ {
			naive, routed := compare("engines of different speeds, one reporting zero load, an entry host crashes", emulator.Setup{
				Seed: seed, EntryHosts: entries, Speeds: heterogeneousSpeeds, ZeroLoadEngines: 1, ReportLag: 2 * time.Second,
				Workloads: mixedWorkloads(0.7), Duration: time.Minute, CrashAt: 30 * time.Second,
			})
			comment := qt.Commentf("seed %d, %d entries", seed, entries)
			c.Check(emulator.P95(routed.FirstToken[dotterelpulley.TierUrgent]) <= maxFirstToken, qt.IsTrue, comment)
			c.Check(emulator.P95(routed.TokenGaps) <= maxTokenGap, qt.IsTrue, comment)
			c.Check(2*routed.WastedPrefill <= naive.WastedPrefill, qt.IsTrue, comment)
		}
	}
}

func TestFairnessToSmallOrganisations(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		workload := emulator.Workload{Tier: dotterelpulley.TierStandard, Route: "door-card", Prompt: 500, Output: 120, Templates: 8, Demand: 0.4}
		var workloads []emulator.Workload
		for i := range 4 {
			workload.Organisation = dotterelpulley.OrganisationID(fmt.Sprintf("dealer-%d", i))
			workloads = append(workloads, workload)
		}
		workload.Organisation = "flooding"
		workload.Demand = 3
		workloads = append(workloads, workload)
		_, routed := compare("flood", emulator.Setup{
			Seed: seed, EntryHosts: 7, Speeds: heterogeneousSpeeds, ReportLag: 2 * time.Second,
			Workloads: workloads, Duration: time.Minute,
		})
		fair := routed.Goodput().GoodWork / 5
		for i := range 4 {
			own := routed.Organisations[dotterelpulley.OrganisationID(fmt.Sprintf("dealer-%d", i))]
			_, _ = fmt.Fprintf(os.Stdout, "dealer-%d: good %d of %d, %s of a fair %s\n",
				i, own.Good, own.Arrived, own.GoodWork.Round(time.Second), fair.Round(time.Second))
			due := min(fair, own.ArrivedWork)
			c.Check(own.GoodWork.Seconds() >= minFairShare*due.Seconds(), qt.IsTrue, qt.Commentf("seed %d, dealer %d", seed, i))
		}
	}
}
