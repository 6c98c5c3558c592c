package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelpulley/dotterelpulley"
)

// Targets are the latency targets of answers.
type Targets struct {
	// FirstToken is the maximum time to the first token; 740 ms if zero.
	FirstToken time.Duration
}

const defaultFirstToken = 740 * time.Millisecond

func (t Targets) firstToken() time.Duration {
	if t.FirstToken > 0 {
		return t.FirstToken
	}
	return defaultFirstToken
}

// TierReport is the statistics of the requests of one tier.
type TierReport struct {
	Requests int
	// Completed counts requests with a complete answer, InTime those of them within the deadline.
	Completed int
	InTime    int
	// FirstTokenInTime counts complete answers in time whose first token met its target.
	FirstTokenInTime int
	Refused          int
	Missing          int
	Wrong            int
	Tokens           int
	Refusals         map[dotterelpulley.ErrorKind]int

	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// Report is the statistics of a run by tier.
type Report struct {
	Tiers   [dotterelpulley.TierCount]TierReport
	Sends   int
	Elapsed time.Duration
	Audit   Audit
	// Audited reports whether Audit was filled from ledgers.
	Audited bool
	Faults  []string
}

const (
	histogramUnit   = time.Microsecond
	histogramMax    = 20 * time.Minute
	histogramDigits = 3
	maxFaults       = 5
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
}

// NewReport aggregates the results of a run that took the elapsed time.
func NewReport(results []Result, targets Targets, elapsed time.Duration) Report {
	r := Report{Elapsed: elapsed}
	for i := range r.Tiers {
		r.Tiers[i] = TierReport{
			Refusals:   map[dotterelpulley.ErrorKind]int{},
			firstToken: newHistogram(),
			tokenGap:   newHistogram(),
			total:      newHistogram(),
		}
	}
	for _, result := range results {
		r.Sends += len(result.Sends)
		r.Tiers[result.Arrival.Request.Tier].add(result, targets)
		r.addFaults(result)
	}
	return r
}

func (r *Report) addFaults(result Result) {
	for _, s := range result.Sends {
		if s.Fault != "" && len(r.Faults) < maxFaults {
			r.Faults = append(r.Faults, s.Outcome.String()+" at "+string(s.Entry)+": "+s.Fault)
		}
	}
}

func (t *TierReport) add(r Result, targets Targets) {
	t.Requests++
	for _, s := range r.Sends {
		if s.Outcome == OutcomeWrong {
			t.Wrong++
		}
	}
	final := r.Final()
	switch final.Outcome {
	case OutcomeCompleted:
		t.addCompleted(r.Arrival, final, targets)
	case OutcomeRefused:
		t.Refused++
		t.Refusals[final.Refusal.Kind]++
	case OutcomeUnreachable, OutcomeTruncated, OutcomeTimedOut, OutcomeWrong:
		t.Missing++
	}
}

func (t *TierReport) addCompleted(a Arrival, s Send, targets Targets) {
	t.Completed++
	t.Tokens += int(a.OutputTokens)
	record(t.total, s.EndedAt)
	if a.Streamed {
		record(t.firstToken, s.FirstToken)
	}
	for _, gap := range s.Gaps {
		record(t.tokenGap, gap)
	}
	if s.EndedAt > a.Timeout {
		return
	}
	t.InTime++
	if s.FirstToken <= targets.firstToken() {
		t.FirstTokenInTime++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(d, histogramMax) / histogramUnit))
}

// Goodput returns the fraction of the tier's requests with a complete answer within the deadline.
func (t TierReport) Goodput() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Requests)
}

// FirstToken returns a percentile of the time to the first token of streamed answers.
func (t TierReport) FirstToken(percentile float64) time.Duration {
	return quantile(t.firstToken, percentile)
}

// TokenGap returns a percentile of the time between tokens of streamed answers.
func (t TierReport) TokenGap(percentile float64) time.Duration {
	return quantile(t.tokenGap, percentile)
}

// Total returns a percentile of the time to the end of complete answers.
func (t TierReport) Total(percentile float64) time.Duration {
	return quantile(t.total, percentile)
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * histogramUnit
}

// Missing counts the requests without a complete answer or a refusal.
func (r Report) Missing() int {
	n := 0
	for _, t := range r.Tiers {
		n += t.Missing
	}
	return n
}

// Wrong counts the sends whose answer claimed to be complete but was not valid.
func (r Report) Wrong() int {
	n := 0
	for _, t := range r.Tiers {
		n += t.Wrong
	}
	return n
}

// HasFaults reports whether an answer was wrong or missing, or the audit found a fault.
func (r Report) HasFaults() bool {
	return r.Missing()+r.Wrong() > 0 || r.Audit.HasFaults()
}
