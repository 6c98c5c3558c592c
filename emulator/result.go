package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelpulley/dotterelpulley"
)

// Tally counts the requests of a tier or an organisation by outcome.
type Tally struct {
	Arrived     int
	ArrivedWork time.Duration
	// Good counts complete answers within the deadline.
	Good       int
	GoodTokens int
	// GoodWork is the engine time of the good requests at speed 1.
	GoodWork time.Duration
	// Shed counts requests refused because of overload.
	Shed int
	// Unreachable counts requests refused because their deadline could no longer be met.
	Unreachable int
	// Aborted counts requests that were cancelled while they ran.
	Aborted int
	// Lost counts requests lost in the crash of an entry host.
	Lost int
}

// GoodFraction returns the good requests as a fraction of those not lost in a crash.
func (t Tally) GoodFraction() float64 {
	if t.Arrived == t.Lost {
		return 1
	}
	return float64(t.Good) / float64(t.Arrived-t.Lost)
}

// Result is the outcome of a setup under a policy.
type Result struct {
	Policy        Policy
	Duration      time.Duration
	Tiers         [dotterelpulley.TierCount]Tally
	Organisations map[dotterelpulley.OrganisationID]*Tally
	// FirstToken holds the microseconds from arrival to first token, by tier.
	FirstToken [dotterelpulley.TierCount]*hdrhistogram.Histogram
	// TokenGaps holds the microseconds between tokens.
	TokenGaps *hdrhistogram.Histogram
	// Prefill counts computed prompt tokens, WastedPrefill those of requests without a result.
	Prefill       int
	WastedPrefill int
	// Imbalance is the highest load of the engines divided by the mean, each relative to the speed.
	Imbalance float64
}

func (r *Result) tierTally(req *request) *Tally {
	return &r.Tiers[req.tier]
}

func (r *Result) organisationTally(req *request) *Tally {
	if r.Organisations == nil {
		r.Organisations = map[dotterelpulley.OrganisationID]*Tally{}
	}
	t, ok := r.Organisations[req.organisation]
	if !ok {
		t = &Tally{}
		r.Organisations[req.organisation] = t
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}

// P95 returns the 95th percentile of a histogram of microseconds.
func P95(h *hdrhistogram.Histogram) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

func (s *simulation) recordFirstToken(r *request) {
	if s.FirstToken[r.tier] == nil {
		s.FirstToken[r.tier] = newHistogram()
	}
	_ = s.FirstToken[r.tier].RecordValue((s.clock.elapsed - r.arrived).Microseconds())
}

func (s *simulation) recordTokenGap(gap time.Duration) {
	if s.TokenGaps == nil {
		s.TokenGaps = newHistogram()
	}
	_ = s.TokenGaps.RecordValue(gap.Microseconds())
}

func (s *simulation) recordCompleted(r *request, j *job) {
	s.Prefill += j.computed
	for _, t := range []*Tally{s.tierTally(r), s.organisationTally(r)} {
		t.Good++
		t.GoodTokens += j.tokens
		t.GoodWork += engineTime(r.prompt, r.output)
	}
}

func (s *simulation) recordAborted(r *request, j *job) {
	s.Prefill += j.computed
	s.WastedPrefill += j.computed
	s.tierTally(r).Aborted++
	s.organisationTally(r).Aborted++
}

func (s *simulation) recordLost(r *request, j *job) {
	if j != nil {
		s.Prefill += j.computed
		s.WastedPrefill += j.computed
	}
	s.tierTally(r).Lost++
	s.organisationTally(r).Lost++
}

func (s *simulation) recordRefused(r *request, kind dotterelpulley.ErrorKind) {
	if kind == dotterelpulley.ErrorShed {
		s.tierTally(r).Shed++
		s.organisationTally(r).Shed++
		return
	}
	s.tierTally(r).Unreachable++
	s.organisationTally(r).Unreachable++
}

func (s *simulation) computeImbalance() {
	sum, highest := 0.0, 0.0
	for _, e := range s.engines {
		e.updateLoadSeconds()
		weighted := e.loadSeconds / e.speed
		sum += weighted
		highest = max(highest, weighted)
	}
	if sum > 0 {
		s.Imbalance = highest * float64(len(s.engines)) / sum
	}
}

// Goodput returns the sum of the good requests over all tiers.
func (r Result) Goodput() Tally {
	var sum Tally
	for _, t := range r.Tiers {
		sum.Good += t.Good
		sum.GoodTokens += t.GoodTokens
		sum.GoodWork += t.GoodWork
	}
	return sum
}

// WriteTable writes a table of the results.
func WriteTable(to io.Writer, results ...Result) {
	tab := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "policy\ttier\tarrived\tgood\tshare\tshed\tunreachable\tbroken\tlost\tfirst-p95")
	for _, r := range results {
		for tier, t := range r.Tiers {
			if t.Arrived == 0 {
				continue
			}
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%s\n", r.Policy, dotterelpulley.Tier(tier),
				t.Arrived, t.Good, t.GoodFraction(), t.Shed, t.Unreachable, t.Aborted, t.Lost, P95(r.FirstToken[tier]).Round(time.Millisecond))
		}
	}
	_ = tab.Flush()
	for _, r := range results {
		sum := r.Goodput()
		_, _ = fmt.Fprintf(to, "%s: good %d requests, %d tokens, %s of engine time; between tokens p95 %s; prefill %d, wasted %d; imbalance %.2f\n",
			r.Policy, sum.Good, sum.GoodTokens, sum.GoodWork.Round(time.Second), P95(r.TokenGaps).Round(100*time.Microsecond), r.Prefill, r.WastedPrefill, r.Imbalance)
	}
}
