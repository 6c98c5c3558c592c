package loader

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelpulley/dotterelpulley"
)

// Targets are the latencies that answers are held to.
type Targets struct {
	// FirstToken bounds the time to the first token; 740 ms if zero.
	FirstToken time.Duration
}

const defaultFirstToken = 740 * time.Millisecond

func (t Targets) firstToken() time.Duration {
	if t.FirstToken > 0 {
		return t.FirstToken
	}
	return defaultFirstToken
}

// TierReport is what became of one tier's requests.
type TierReport struct {
	Requests int
	// Whole counts requests with a whole answer, InTime those of them within the deadline.
	Whole  int
	InTime int
	// Prompt counts whole answers in time whose first token came within its target.
	Prompt   int
	Refused  int
	Missing  int
	Wrong    int
	Tokens   int
	Refusals map[dotterelpulley.ErrorKind]int

	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// Report is what a run gave, by tier.
type Report struct {
	Tiers   [dotterelpulley.TierCount]TierReport
	Sends   int
	Elapsed time.Duration
	Audit   Audit
	// Audited tells that ledgers were read.
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

// NewReport folds the results of a run that took the elapsed time.
func NewReport(results []Result, targets Targets, elapsed time.Duration) Report {
	r := Report{Elapsed: elapsed}
	for i := range r.Tiers {
		r.Tiers[i] = TierReport{
			Refusals:   map[dotterelpulley.ErrorKind]int{},
			firstToken: newHistogram(),
			between:    newHistogram(),
			total:      newHistogram(),
		}
	}
	for _, result := range results {
		r.Sends += len(result.Sends)
		r.Tiers[result.Arrival.Request.Tier].add(result, targets)
		r.fault(result)
	}
	return r
}

func (r *Report) fault(result Result) {
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
	case OutcomeWhole:
		t.whole(r.Arrival, final, targets)
	case OutcomeRefused:
		t.Refused++
		t.Refusals[final.Refused.Kind]++
	case OutcomeUnreachable, OutcomeCut, OutcomeTimedOut, OutcomeWrong:
		t.Missing++
	}
}

func (t *TierReport) whole(a Arrival, s Send, targets Targets) {
	t.Whole++
	t.Tokens += int(a.Output)
	record(t.total, s.Ended)
	if a.Streamed {
		record(t.firstToken, s.FirstToken)
	}
	for _, gap := range s.Gaps {
		record(t.between, gap)
	}
	if s.Ended > a.Within {
		return
	}
	t.InTime++
	if s.FirstToken <= targets.firstToken() {
		t.Prompt++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(d, histogramMax) / histogramUnit))
}

// Goodput returns the share of the tier's requests that were answered whole within their deadline.
func (t TierReport) Goodput() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.InTime) / float64(t.Requests)
}

// FirstToken returns the percentile of the time to the first token of streamed answers.
func (t TierReport) FirstToken(percentile float64) time.Duration {
	return quantile(t.firstToken, percentile)
}

// Between returns the percentile of the time between tokens of streamed answers.
func (t TierReport) Between(percentile float64) time.Duration {
	return quantile(t.between, percentile)
}

// Total returns the percentile of the time to the end of whole answers.
func (t TierReport) Total(percentile float64) time.Duration {
	return quantile(t.total, percentile)
}

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * histogramUnit
}

// Missing counts the requests without a whole answer or a refusal.
func (r Report) Missing() int {
	n := 0
	for _, t := range r.Tiers {
		n += t.Missing
	}
	return n
}

// Wrong counts the sends whose answer claimed to be whole and was not.
func (r Report) Wrong() int {
	n := 0
	for _, t := range r.Tiers {
		n += t.Wrong
	}
	return n
}

// Broken reports whether the run shows a wrong or missing answer, or the ledgers a fault.
func (r Report) Broken() bool {
	return r.Missing()+r.Wrong() > 0 || r.Audit.Broken()
}
