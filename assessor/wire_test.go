package assessor_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/assessor"
)

// Builds up to fd820be know no orders of evidence: they leave the order out of what they send, and pass over what they don't know.
func TestEarlierBuildsExchangeEvidenceWithoutItsOrder(t *testing.T) {
	c := qt.New(t)
	started := time.UnixMilli(1_700_000_000_000).UTC()
	e := &assessor.Evidence{}
	e.BeginExposure(assessor.Exposure{Service: "s", Step: 1, New: "v2"}, started)
	e.Add("v2", assessor.Sample{Cell: assessor.Cell{Route: "a"}, Endpoint: "i-1", Failed: true}, started)
	without, err := assessor.Encode([]*assessor.Evidence{e})
	c.Assert(err, qt.IsNil)
	e.Order = assessor.Order{Era: 2, Next: 9}
	with, err := assessor.Encode([]*assessor.Evidence{e})
	c.Assert(err, qt.IsNil)
	decoded, err := assessor.Decode(with)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded[0].Order, qt.Equals, e.Order)
	decoded, err = assessor.Decode(without)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded[0].Order, qt.Equals, assessor.Order{})
	var fields []map[string]any
	c.Assert(json.Unmarshal(with, &fields), qt.IsNil)
	delete(fields[0], "order-era")
	delete(fields[0], "order-next")
	rest, err := json.Marshal(fields)
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.JSONEquals, json.RawMessage(without))
}
