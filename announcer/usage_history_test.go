package announcer

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestUsageHistoriesAreSentWhole(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Message{
		HistoryRequest{Host: "front-a-1"},
		UsageHistory{
			Known: 8 * time.Second, Slot: 126984 * time.Microsecond,
			Usage: map[dotterelpulley.OrganisationID][]float64{"t1": {8.5, 0, -2}, "t2": {1}},
		},
	} {
		got, err := Decode(m.Encode())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, m)
	}
}

func TestAUsageThatIsNoNumberIsRejected(t *testing.T) {
	c := qt.New(t)
	for _, amount := range []float64{math.NaN(), math.Inf(1)} {
		_, err := Decode(UsageHistory{Usage: map[dotterelpulley.OrganisationID][]float64{"t1": {amount}}}.Encode())
		c.Assert(err, qt.IsNotNil)
	}
}
