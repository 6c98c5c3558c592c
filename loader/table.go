package loader

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	median = 50
	p95    = 95
	p99    = 99
)

// WriteTable writes the report as text tables.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "tier\trequests\twhole\tin time\tgoodput\tprompt\trefused\tmissing\twrong\tfirst p50\tp95\tp99\tbetween p95\ttotal p95\t")
	for tier, row := range r.Tiers {
		if row.Requests == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n",
			dotterelpulley.Tier(tier), row.Requests, row.Completed, row.InTime, 100*row.Goodput(), row.FirstTokenInTime,
			row.Refused, row.Missing, row.Wrong,
			formatDuration(row.FirstToken(median)), formatDuration(row.FirstToken(p95)), formatDuration(row.FirstToken(p99)),
			formatDuration(row.TokenGap(p95)), formatDuration(row.Total(p95)))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return r.writeSummary(w)
}

func (r Report) writeSummary(w io.Writer) error {
	for tier, row := range r.Tiers {
		for _, kind := range dotterelpulley.ErrorKinds() {
			if n := row.Refusals[kind]; n > 0 {
				fmt.Fprintf(w, "refused %s %s: %d\n", dotterelpulley.Tier(tier), kind, n)
			}
		}
	}
	if r.Audited {
		fmt.Fprintf(w, "ledgers: %d runs, %d duplicates, %d false not-run, %d unfounded answers, prefill %d tokens of which %d wasted\n",
			r.Audit.Runs, r.Audit.Duplicates, r.Audit.FalseNotRun, r.Audit.Unfounded,
			r.Audit.Prefill, r.Audit.WastedPrefill)
	}
	for _, fault := range append(r.Faults, r.Audit.Examples...) {
		fmt.Fprintln(w, "fault:", fault)
	}
	_, err := fmt.Fprintf(w, "%d sends in %s\n", r.Sends, formatDuration(r.Elapsed))
	if err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func formatDuration(d time.Duration) string {
	if d >= 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
}
