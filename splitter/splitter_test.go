package splitter_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

func shares(fraction float64) []dotterelpulley.Share {
	return []dotterelpulley.Share{{Version: "v1", Fraction: 1 - fraction}, {Version: "v2", Fraction: fraction}}
}

func TestShareLimitHoldsAcrossHostsThatJoinAndDie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		hosts := make([]splitter.Splitter, rapid.IntRange(1, 8).Draw(t, "hosts"))
		total, second := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			if rapid.IntRange(0, 99).Draw(t, "crash") == 0 {
				hosts[i] = splitter.Splitter{}
			}
			hosts[i].SetShares(shares(fraction))
			conversation := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "conversation"))
			total++
			if hosts[i].Choose(conversation) == "v2" {
				second++
			}
			if float64(second) > fraction*float64(total)+1e-6 {
				t.Fatalf("%d of %d requests went to the second version, over %g", second, total, fraction)
			}
		}
	})
}

func TestShareIsFullyUsed(t *testing.T) {
	c := qt.New(t)
	var s splitter.Splitter
	s.SetShares(shares(0.1))
	second := 0
	for range 1000 {
		if s.Choose("") == "v2" {
			second++
		}
	}
	c.Check(second, qt.Equals, 100)
}

func TestConversationStaysOnNewVersionAsTheShareGrows(t *testing.T) {
	c := qt.New(t)
	moved := map[string]bool{}
	for _, fraction := range []float64{0.05, 0.25, 0.5, 1} {
		var s splitter.Splitter
		s.SetShares(shares(fraction))
		for i := range 20_000 {
			s.Choose(fmt.Sprint("other ", i))
		}
		for i := range 500 {
			name := fmt.Sprint(i)
			got := s.Choose(name) == "v2"
			c.Check(got || !moved[name], qt.IsTrue, qt.Commentf("conversation %s at %g", name, fraction))
			moved[name] = moved[name] || got
		}
	}
}
