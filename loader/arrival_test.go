package loader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestPlanIsOrderedBoundedAndDeterministic(t *testing.T) {
	checkProperty(t, func(c *qt.C, t *rapid.T) {
		settings := PlanSettings{
			Profile:        profiles[rapid.SampledFrom(ProfileNames()).Draw(t, "profile")],
			Seed:           Seed(rapid.Uint64().Draw(t, "seed")),
			Start:          time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "start")),
			Duration:       5 * time.Second,
			BurstInterval:  2 * time.Second,
			ResendFraction: 0.3,
		}
		arrivals := Plan(settings)
		c.Assert(Plan(settings), qt.DeepEquals, arrivals)
		keys := map[dotterelpulley.Key]bool{}
		last := time.Duration(0)
		for _, a := range arrivals {
			c.Assert(a.At >= last && a.At < settings.Duration, qt.IsTrue)
			c.Assert(keys[a.Request.Key], qt.IsFalse)
			c.Assert(a.Timeout, qt.Equals, a.Request.Tier.DefaultDeadline())
			c.Assert(a.OutputTokens <= a.Request.MaxTokens, qt.IsTrue)
			c.Assert(len(a.Request.Payload) > 0, qt.Equals, a.OutputTokens == 0)
			keys[a.Request.Key] = true
			last = a.At
		}
	})
}

func TestPlanArrivalRateInsideAndOutsideBursts(t *testing.T) {
	c := qt.New(t)
	const seed = 7
	arrivals := Plan(PlanSettings{
		Profile:       profiles[ProfilePollulaotus],
		Seed:          seed,
		Duration:      100 * time.Second,
		Rate:          100,
		BurstInterval: 10 * time.Second,
	})
	inBursts := 0
	for _, a := range arrivals {
		if a.At >= 10*time.Second && a.At%(10*time.Second) < defaultBurstLength {
			inBursts++
		}
	}
	outsideBursts := len(arrivals) - inBursts
	c.Check(outsideBursts > 8500 && outsideBursts < 9700, qt.IsTrue, qt.Commentf("seed %d: %d outside bursts", seed, outsideBursts))
	c.Check(inBursts > 3200 && inBursts < 4000, qt.IsTrue, qt.Commentf("seed %d: %d in bursts", seed, inBursts))
}

func TestPlanOutputLengthsAndSharedPrefixes(t *testing.T) {
	for name, profile := range profiles {
		t.Run(string(name), func(t *testing.T) {
			c := qt.New(t)
			shortest, longest := dotterelpulley.Tokens(1<<30), dotterelpulley.Tokens(0)
			prefixes := map[string]dotterelpulley.RouteID{}
			for _, a := range Plan(PlanSettings{Profile: profile, Duration: time.Minute, Rate: 50}) {
				if a.OutputTokens == 0 {
					continue
				}
				shortest, longest = min(shortest, a.OutputTokens), max(longest, a.OutputTokens)
				c.Assert(strings.HasSuffix(a.Request.Prompt, fmt.Sprintf("len=%d", a.OutputTokens)), qt.IsTrue)
				prefixes[a.Request.Prompt[:templateBytes]] = a.Request.Route
			}
			c.Check(longest >= 90*shortest, qt.IsTrue, qt.Commentf("from %d to %d", shortest, longest))
			c.Check(len(prefixes) <= len(profile.Classes), qt.IsTrue)
		})
	}
}
