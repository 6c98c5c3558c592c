package dotterelpulley_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestEveryErrorKindHasAnAnswer(t *testing.T) {
	c := qt.New(t)
	names := map[string]bool{}
	for _, kind := range dotterelpulley.ErrorKinds() {
		answer := kind.Answer()
		c.Check(answer.Name, qt.Not(qt.Equals), "", qt.Commentf("kind %d", int(kind)))
		c.Check(answer.Status >= 400, qt.IsTrue, qt.Commentf("kind %s", kind))
		c.Check(names[answer.Name], qt.IsFalse, qt.Commentf("name %q is used twice", answer.Name))
		c.Check(dotterelpulley.ParseErrorKind(answer.Name), qt.Equals, kind)
		names[answer.Name] = true
	}
}

func TestTierNamesRoundTrip(t *testing.T) {
	c := qt.New(t)
	for tier := dotterelpulley.TierUrgent; tier < dotterelpulley.TierCount; tier++ {
		parsed, err := dotterelpulley.ParseTier(tier.String())
		c.Assert(err, qt.IsNil)
		c.Check(parsed, qt.Equals, tier)
	}
	_, err := dotterelpulley.ParseTier("gold")
	c.Check(err, qt.ErrorMatches, `tier "gold" is none of .*`)
}
