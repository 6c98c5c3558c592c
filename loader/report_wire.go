package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type wirePercentiles struct {
	P50 string `json:"p50"`
	P95 string `json:"p95"`
	P99 string `json:"p99"`
}

type wireTier struct {
	Tier       string          `json:"tier"`
	Requests   int             `json:"requests"`
	Whole      int             `json:"whole"`
	InTime     int             `json:"in-time"`
	Goodput    float64         `json:"goodput"`
	Prompt     int             `json:"prompt"`
	Refused    int             `json:"refused"`
	Missing    int             `json:"missing"`
	Wrong      int             `json:"wrong"`
	Tokens     int             `json:"tokens"`
	Refusals   map[string]int  `json:"refusals"`
	FirstToken wirePercentiles `json:"first-token"`
	Between    wirePercentiles `json:"between-tokens"`
	Total      wirePercentiles `json:"total"`
}

type wireAudit struct {
	Runs          int      `json:"runs"`
	Duplicates    int      `json:"duplicates"`
	FalseNotRun   int      `json:"false-not-run"`
	Unfounded     int      `json:"unfounded"`
	Prefill       int      `json:"prefill-tokens"`
	WastedPrefill int      `json:"wasted-prefill-tokens"`
	Examples      []string `json:"examples,omitempty"`
}

type wireReport struct {
	Elapsed string     `json:"elapsed"`
	Sends   int        `json:"sends"`
	Missing int        `json:"missing"`
	Wrong   int        `json:"wrong"`
	Broken  bool       `json:"broken"`
	Tiers   []wireTier `json:"tiers"`
	Ledgers *wireAudit `json:"ledgers,omitempty"`
	Faults  []string   `json:"faults,omitempty"`
}

// WriteJSON writes the report as one line of JSON.
func (r Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r.toWire()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (r Report) toWire() wireReport {
	w := wireReport{
		Elapsed: r.Elapsed.Round(time.Millisecond).String(),
		Sends:   r.Sends,
		Missing: r.Missing(),
		Wrong:   r.Wrong(),
		Broken:  r.HasFaults(),
		Faults:  r.Faults,
	}
	for tier, row := range r.Tiers {
		w.Tiers = append(w.Tiers, row.toWire(dotterelpulley.Tier(tier)))
	}
	if r.Audited {
		w.Ledgers = r.Audit.toWire()
	}
	return w
}

func (t TierReport) toWire(tier dotterelpulley.Tier) wireTier {
	w := wireTier{
		Tier:       tier.String(),
		Requests:   t.Requests,
		Whole:      t.Completed,
		InTime:     t.InTime,
		Goodput:    t.Goodput(),
		Prompt:     t.FirstTokenInTime,
		Refused:    t.Refused,
		Missing:    t.Missing,
		Wrong:      t.Wrong,
		Tokens:     t.Tokens,
		Refusals:   map[string]int{},
		FirstToken: percentiles(t.FirstToken),
		Between:    percentiles(t.TokenGap),
		Total:      percentiles(t.Total),
	}
	for kind, n := range t.Refusals {
		w.Refusals[kind.String()] = n
	}
	return w
}

func percentiles(at func(float64) time.Duration) wirePercentiles {
	return wirePercentiles{
		P50: at(median).String(),
		P95: at(p95).String(),
		P99: at(p99).String(),
	}
}

func (a Audit) toWire() *wireAudit {
	return &wireAudit{
		Runs:          a.Runs,
		Duplicates:    a.Duplicates,
		FalseNotRun:   a.FalseNotRun,
		Unfounded:     a.Unfounded,
		Prefill:       a.Prefill,
		WastedPrefill: a.WastedPrefill,
		Examples:      a.Examples,
	}
}
