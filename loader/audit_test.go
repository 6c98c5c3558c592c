package loader

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func resultOf(sends ...Send) Result {
	return Result{
		Arrival: Arrival{
			Within:  time.Minute,
			Request: dotterelpulley.Request{Key: dotterelpulley.Key{Organisation: "o", Idempotency: "k"}},
		},
		Sends: sends,
	}
}

func TestAuditRuns(t *testing.T) {
	whole := Send{Outcome: OutcomeWhole, Digest: 5}
	notRun := Send{Outcome: OutcomeRefused, Refused: Refused{Kind: dotterelpulley.ErrorShed}}
	unknown := Send{Outcome: OutcomeRefused, Refused: Refused{Truth: dotterelpulley.OutcomeUnknown}}
	run := Run{Key: "o/k", Outcome: "whole", Digest: 5, Prefilled: 6}
	broken := Run{Key: "o/k", Outcome: "cancelled", Prefilled: 10, Wasted: 10}
	other := Run{Key: "p/k", Outcome: "whole", Digest: 5, Prefilled: 10}
	tests := []struct {
		name   string
		result Result
		runs   []Run
		want   Audit
	}{
		{"one run", resultOf(whole), []Run{run, other}, Audit{Runs: 1, Prefill: 6}},
		{"two runs", resultOf(whole), []Run{broken, run}, Audit{Runs: 2, Duplicates: 1, Prefill: 16, WastedPrefill: 10}},
		{"no run", resultOf(whole), []Run{other}, Audit{Unfounded: 1}},
		{"another output", resultOf(Send{Outcome: OutcomeWhole, Digest: 6}), []Run{run}, Audit{Runs: 1, Unfounded: 1, Prefill: 6}},
		{"denied", resultOf(notRun), []Run{run}, Audit{Runs: 1, FalseNotRun: 1, Prefill: 6, WastedPrefill: 6}},
		{"denied after an unknown", resultOf(unknown, notRun), []Run{run}, Audit{Runs: 1, Prefill: 6, WastedPrefill: 6}},
		{"handed over", resultOf(whole), []Run{{Key: "o/k", Outcome: "moved", Prefilled: 6}, {Key: "o/k", Outcome: "whole", Digest: 5, Continued: true}}, Audit{Runs: 1, Prefill: 6}},
		{"denied truly", resultOf(notRun), []Run{other}, Audit{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := AuditRuns([]Result{test.result}, test.runs)
			c.Check(len(got.Examples) > 0, qt.Equals, got.Broken())
			got.Examples = nil
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

func TestReportCountsEachRequestOnce(t *testing.T) {
	c := qt.New(t)
	prompt := Send{Outcome: OutcomeWhole, FirstToken: time.Second / 2, Ended: time.Second}
	slow := Send{Outcome: OutcomeWhole, FirstToken: 2 * time.Second, Ended: 3 * time.Second}
	late := Send{Outcome: OutcomeWhole, FirstToken: time.Minute, Ended: 2 * time.Minute}
	cut := Send{Outcome: OutcomeCut, Fault: "reset"}
	shed := Send{Outcome: OutcomeRefused, Refused: Refused{Kind: dotterelpulley.ErrorShed}}
	report := NewReport([]Result{
		resultOf(prompt), resultOf(cut, slow), resultOf(late), resultOf(cut), resultOf(cut, shed),
	}, Targets{}, time.Minute)
	row := report.Tiers[dotterelpulley.TierUrgent]
	c.Check(row.Requests, qt.Equals, 5)
	c.Check(row.Whole, qt.Equals, 3)
	c.Check(row.InTime, qt.Equals, 2)
	c.Check(row.Prompt, qt.Equals, 1)
	c.Check(row.Refusals, qt.DeepEquals, map[dotterelpulley.ErrorKind]int{dotterelpulley.ErrorShed: 1})
	c.Check(row.Missing, qt.Equals, 1)
	c.Check(report.Broken(), qt.IsTrue)

	var table, line bytes.Buffer
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Check(table.String(), qt.Contains, "refused urgent shed: 1")
	c.Assert(report.WriteJSON(&line), qt.IsNil)
	var w wireReport
	c.Assert(json.Unmarshal(line.Bytes(), &w), qt.IsNil)
	c.Check(w.Tiers[0].Refusals, qt.DeepEquals, map[string]int{"shed": 1})
	c.Check(bytes.Count(line.Bytes(), []byte("\n")), qt.Equals, 1)
}

func TestDirectoryKeepsAnswersForTheirTime(t *testing.T) {
	c := qt.New(t)
	var d Directory
	given := []dotterelpulley.Address{"g1", "g2"}
	c.Check(d.Stale(0), qt.IsTrue)
	c.Check(d.Source(given), qt.Equals, given[0])
	c.Check(d.Source(given), qt.Equals, given[1])
	d.Keep(time.Second, Entries{Addresses: []dotterelpulley.Address{"a", "b"}, Keep: 10 * time.Second})
	c.Check(d.Stale(10*time.Second), qt.IsFalse)
	c.Check(d.Stale(11*time.Second), qt.IsTrue)
	third, err := d.Address(2)
	c.Assert(err, qt.IsNil)
	c.Check(third, qt.Equals, dotterelpulley.Address("a"))
	d.Distrust()
	c.Check(d.Stale(2*time.Second), qt.IsTrue)
	d.Keep(3*time.Second, Entries{})
	_, err = d.Address(0)
	c.Check(err, qt.IsNil)
}
