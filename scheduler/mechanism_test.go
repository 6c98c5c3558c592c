package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestEveryMechanismHasAName(t *testing.T) {
	c := qt.New(t)
	c.Assert(1<<(len(mechanismNames)-1), qt.Equals, int(ReportAgeing))
	for i, name := range mechanismNames {
		m, err := ParseMechanisms([]string{name})
		c.Assert(err, qt.IsNil)
		c.Assert(m, qt.Equals, Mechanisms(1)<<i)
	}
	_, err := ParseMechanisms([]string{"luck"})
	c.Assert(err, qt.ErrorMatches, `there is no mechanism "luck", only .*`)
}
