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
	urgentGood    = 0.99
	firstToken    = 740 * time.Millisecond
	betweenTokens = 41 * time.Millisecond
	fairShare     = 0.9
)

var unlike = []float64{1, 1, 1, 0.9, 0.9, 0.8, 0.8, 0.7, 0.7, 0.2}

// mixed returns uses of all tiers that offer the factor of the capacity, urgent ones always the same.
func mixed(factor float64) []emulator.Use {
	rest := factor - urgentDemand
	return []emulator.Use{
		{Organisation: "dealer-a", Tier: dotterelpulley.TierUrgent, Route: "cab-advisory", Prompt: 400, Output: 60, Templates: 8, Demand: urgentDemand},
		{Organisation: "dealer-b", Tier: dotterelpulley.TierInteractive, Route: "parcel-check", Prompt: 300, Output: 40, Templates: 8, Demand: 0.2 * rest},
		{Organisation: "dealer-c", Tier: dotterelpulley.TierStandard, Route: "door-card", Prompt: 500, Output: 120, Templates: 8, Demand: 0.3 * rest},
		{Organisation: "dealer-d", Tier: dotterelpulley.TierPlanned, Route: "works-letter", Prompt: 800, Output: 400, Templates: 8, Demand: 0.25 * rest},
		{Organisation: "dealer-a", Tier: dotterelpulley.TierBackground, Route: "season-plan", Prompt: 2000, Output: 2000, Templates: 4, Demand: 0.25 * rest},
	}
}

// compare plays both policies and prints them side by side.
func compare(name string, s emulator.Setup) (naive, routed emulator.Result) {
	naive, routed = emulator.Run(emulator.Naive, s), emulator.Run(emulator.Routed, s)
	_, _ = fmt.Fprintf(os.Stdout, "%s, seed %d, %d entries\n", name, s.Seed, s.Entries)
	emulator.WriteTable(os.Stdout, naive, routed)
	return naive, routed
}

func seeds(most uint64) []uint64 {
	if testing.Short() {
		most = 1
	}
	var all []uint64
	for seed := uint64(1); seed <= most; seed++ {
		all = append(all, seed)
	}
	return all
}

func TestDoubleOverload(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		naive, routed := compare("double overload", emulator.Setup{
			Seed: seed, Entries: 7, Speeds: unlike, ReportLag: 2 * time.Second,
			Uses: mixed(2), Span: time.Minute,
		})
		at := qt.Commentf("seed %d", seed)
		urgent := routed.Tiers[dotterelpulley.TierUrgent]
		c.Check(urgent.Share() >= urgentGood, qt.IsTrue, at)
		c.Check(urgent.Shed+urgent.Unreachable, qt.Equals, 0, at)
		c.Check(routed.Goodput().Good >= naive.Goodput().Good, qt.IsTrue, at)
		c.Check(2*routed.Wasted <= naive.Wasted, qt.IsTrue, at)
	}
}

func TestBurstsFirstInstant(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		uses := mixed(1)
		for i := range uses {
			uses[i].Burst = 60
		}
		uses[4].Burst = 400
		naive, routed := compare("burst", emulator.Setup{
			Seed: seed, Entries: 7, Speeds: unlike, ReportLag: 2 * time.Second,
			Uses: uses, Span: 30 * time.Second,
		})
		at := qt.Commentf("seed %d", seed)
		urgent := routed.Tiers[dotterelpulley.TierUrgent]
		c.Check(urgent.Share() >= urgentGood, qt.IsTrue, at)
		c.Check(urgent.Shed+urgent.Unreachable, qt.Equals, 0, at)
		c.Check(routed.Goodput().Good >= naive.Goodput().Good, qt.IsTrue, at)
	}
}

func TestEntriesDoNotHerd(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(3) {
		for entries := 6; entries <= 8; entries++ {
			naive, routed := compare("unlike engines, a liar, an entry dies", emulator.Setup{
				Seed: seed, Entries: entries, Speeds: unlike, Liars: 1, ReportLag: 2 * time.Second,
				Uses: mixed(0.7), Span: time.Minute, Dies: 30 * time.Second,
			})
			at := qt.Commentf("seed %d, %d entries", seed, entries)
			c.Check(emulator.P95(routed.FirstToken[dotterelpulley.TierUrgent]) <= firstToken, qt.IsTrue, at)
			c.Check(emulator.P95(routed.Between) <= betweenTokens, qt.IsTrue, at)
			c.Check(2*routed.Wasted <= naive.Wasted, qt.IsTrue, at)
		}
	}
}

func TestSmallOrganisationBesideAFloodingOne(t *testing.T) {
	c := qt.New(t)
	for _, seed := range seeds(5) {
		use := emulator.Use{Tier: dotterelpulley.TierStandard, Route: "door-card", Prompt: 500, Output: 120, Templates: 8, Demand: 0.4}
		var uses []emulator.Use
		for i := range 4 {
			use.Organisation = dotterelpulley.OrganisationID(fmt.Sprintf("dealer-%d", i))
			uses = append(uses, use)
		}
		use.Organisation = "flooding"
		use.Demand = 3
		uses = append(uses, use)
		_, routed := compare("flood", emulator.Setup{
			Seed: seed, Entries: 7, Speeds: unlike, ReportLag: 2 * time.Second,
			Uses: uses, Span: time.Minute,
		})
		fair := routed.Goodput().GoodWork / 5
		for i := range 4 {
			own := routed.Organisations[dotterelpulley.OrganisationID(fmt.Sprintf("dealer-%d", i))]
			_, _ = fmt.Fprintf(os.Stdout, "dealer-%d: good %d of %d, %s of a fair %s\n",
				i, own.Good, own.Arrived, own.GoodWork.Round(time.Second), fair.Round(time.Second))
			due := min(fair, own.ArrivedWork)
			c.Check(own.GoodWork.Seconds() >= fairShare*due.Seconds(), qt.IsTrue, qt.Commentf("seed %d, dealer %d", seed, i))
		}
	}
}
