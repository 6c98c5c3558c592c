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
			Timeout: time.Minute,
			Request: dotterelpulley.Request{Key: dotterelpulley.Key{Organisation: "o", Idempotency: "k"}},
		},
		Sends: sends,
	}
}

func TestAuditRuns(t *testing.T) {
	complete := Send{Outcome: OutcomeCompleted, Digest: 5}
	notRun := Send{Outcome: OutcomeRefused, Refusal: Refusal{Kind: dotterelpulley.ErrorShed}}
	unknown := Send{Outcome: OutcomeRefused, Refusal: Refusal{Truth: dotterelpulley.OutcomeUnknown}}
	run := Run{Key: "o/k", Outcome: "whole", Digest: 5, Prefilled: 6}
	cancelled := Run{Key: "o/k", Outcome: "cancelled", Prefilled: 10, WastedPrefill: 10}
	otherKey := Run{Key: "p/k", Outcome: "whole", Digest: 5, Prefilled: 10}
	tests := []struct {
		name   string
		result Result
		runs   []Run
		want   Audit
	}{
		{"one run", resultOf(complete), []Run{run, otherKey}, Audit{Runs: 1, Prefill: 6}},
		{"two runs", resultOf(complete), []Run{cancelled, run}, Audit{Runs: 2, Duplicates: 1, Prefill: 16, WastedPrefill: 10}},
		{"no run", resultOf(complete), []Run{otherKey}, Audit{Unfounded: 1}},
		{"different output", resultOf(Send{Outcome: OutcomeCompleted, Digest: 6}), []Run{run}, Audit{Runs: 1, Unfounded: 1, Prefill: 6}},
		{"false not-run refusal", resultOf(notRun), []Run{run}, Audit{Runs: 1, FalseNotRun: 1, Prefill: 6, WastedPrefill: 6}},
		{"not-run refusal after unknown outcome", resultOf(unknown, notRun), []Run{run}, Audit{Runs: 1, Prefill: 6, WastedPrefill: 6}},
		{"run handed over to another endpoint", resultOf(complete), []Run{{Key: "o/k", Outcome: "moved", Prefilled: 6}, {Key: "o/k", Outcome: "whole", Digest: 5, Continued: true}}, Audit{Runs: 1, Prefill: 6}},
		{"true not-run refusal", resultOf(notRun), []Run{otherKey}, Audit{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := AuditRuns([]Result{test.result}, test.runs)
			c.Check(len(got.Examples) > 0, qt.Equals, got.HasFaults())
			got.Examples = nil
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

func TestReportCountsEachRequestOnce(t *testing.T) {
	c := qt.New(t)
	fast := Send{Outcome: OutcomeCompleted, FirstToken: time.Second / 2, EndedAt: time.Second}
	slow := Send{Outcome: OutcomeCompleted, FirstToken: 2 * time.Second, EndedAt: 3 * time.Second}
	late := Send{Outcome: OutcomeCompleted, FirstToken: time.Minute, EndedAt: 2 * time.Minute}
	cut := Send{Outcome: OutcomeTruncated, Fault: "reset"}
	shed := Send{Outcome: OutcomeRefused, Refusal: Refusal{Kind: dotterelpulley.ErrorShed}}
	report := NewReport([]Result{
		resultOf(fast), resultOf(cut, slow), resultOf(late), resultOf(cut), resultOf(cut, shed),
	}, Targets{}, time.Minute)
	row := report.Tiers[dotterelpulley.TierUrgent]
	c.Check(row.Requests, qt.Equals, 5)
	c.Check(row.Completed, qt.Equals, 3)
	c.Check(row.InTime, qt.Equals, 2)
	c.Check(row.FirstTokenInTime, qt.Equals, 1)
	c.Check(row.Refusals, qt.DeepEquals, map[dotterelpulley.ErrorKind]int{dotterelpulley.ErrorShed: 1})
	c.Check(row.Missing, qt.Equals, 1)
	c.Check(report.HasFaults(), qt.IsTrue)

	var table, line bytes.Buffer
	c.Assert(report.WriteTable(&table), qt.IsNil)
	c.Check(table.String(), qt.Contains, "refused urgent shed: 1")
	c.Assert(report.WriteJSON(&line), qt.IsNil)
	var w wireReport
	c.Assert(json.Unmarshal(line.Bytes(), &w), qt.IsNil)
	c.Check(w.Tiers[0].Refusals, qt.DeepEquals, map[string]int{"shed": 1})
	c.Check(bytes.Count(line.Bytes(), []byte("\n")), qt.Equals, 1)
}

func TestDirectoryExpiresAddresses(t *testing.T) {
	c := qt.New(t)
	var d Directory
	configured := []dotterelpulley.Address{"g1", "g2"}
	c.Check(d.Stale(0), qt.IsTrue)
	c.Check(d.NextSource(configured), qt.Equals, configured[0])
	c.Check(d.NextSource(configured), qt.Equals, configured[1])
	d.Store(time.Second, Entries{Addresses: []dotterelpulley.Address{"a", "b"}, TTL: 10 * time.Second})
	c.Check(d.Stale(10*time.Second), qt.IsFalse)
	c.Check(d.Stale(11*time.Second), qt.IsTrue)
	third, err := d.Address(2)
	c.Assert(err, qt.IsNil)
	c.Check(third, qt.Equals, dotterelpulley.Address("a"))
	d.Invalidate()
	c.Check(d.Stale(2*time.Second), qt.IsTrue)
	d.Store(3*time.Second, Entries{})
	_, err = d.Address(0)
	c.Check(err, qt.IsNil)
}
