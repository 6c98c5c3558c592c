package assessor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
)

// unevenEvidence has endpoints of unlike speed; each slowEvery-th answer of the new version takes four times as long, and the
// whole of the endpoint slowID.
func unevenEvidence(slowEvery int, slowID dotterelpulley.EndpointID) *assessor.Evidence {
	start := time.Unix(1_700_000_000, 0)
	e := &assessor.Evidence{}
	e.BeginExposure(assessor.Exposure{Service: "s", New: "v2"}, start)
	for i := range 400 {
		endpoint := i % 4
		latency := time.Duration(20<<endpoint) * time.Millisecond * time.Duration(100+i%13) / 100
		sample := assessor.Sample{Cell: assessor.Cell{Route: "r"}, BetweenTokens: latency, Endpoint: dotterelpulley.EndpointID(fmt.Sprint("old-", endpoint))}
		e.Add("", sample, start)
		if i >= 60 {
			continue
		}
		sample.Endpoint = dotterelpulley.EndpointID(fmt.Sprint("new-", endpoint))
		if slowEvery > 0 && i/4%slowEvery == 0 || sample.Endpoint == slowID {
			sample.BetweenTokens *= 4
		}
		e.Add("v2", sample, start)
	}
	e.Refresh(start)
	return e
}

// Guards against slow answers that hardware several times faster hides.
func TestUnevenAnswersShowOnUnlikeHardware(t *testing.T) {
	c := qt.New(t)
	a := assessor.Assessor{Assurance: 0.25, SlowRate: 0.04}
	now := time.Unix(1_700_000_001, 0)
	good := a.Assess(unevenEvidence(0, ""), now)
	c.Check(good.EnoughEvidence, qt.IsTrue, qt.Commentf("%s", good.Reason))
	c.Check(a.Assess(unevenEvidence(2, ""), now).Bad, qt.IsTrue)
	slow := a.Assess(unevenEvidence(0, "new-3"), now)
	c.Check(slow.EnoughEvidence, qt.IsFalse, qt.Commentf("%s", slow.Reason))
}

// Guards against hosts that lose the spread of latencies on the way to the host that judges.
func TestSpreadsSurviveTheirEncoding(t *testing.T) {
	c := qt.New(t)
	e := unevenEvidence(2, "")
	data, err := assessor.Encode([]*assessor.Evidence{e})
	c.Assert(err, qt.IsNil)
	decoded, err := assessor.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Check(decoded[0].BetweenTokens.Old, qt.DeepEquals, e.BetweenTokens.Old)
	c.Check(decoded[0].BetweenTokens.New, qt.DeepEquals, e.BetweenTokens.New)
	c.Check(decoded[0].BetweenTokens.Slowest, qt.Equals, e.BetweenTokens.Slowest)
}
