package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelpulley/dotterelpulley"
)

// Tally is what became of the requests of a tier or an organisation.
type Tally struct {
	Arrived     int
	ArrivedWork time.Duration
	// Good counts whole answers within the deadline.
	Good       int
	GoodTokens int
	// GoodWork is the engine time of the good requests at speed 1.
	GoodWork time.Duration
	// Shed counts requests that were refused for the load.
	Shed int
	// Unreachable counts requests whose deadline could not be met any more.
	Unreachable int
	// Broken counts requests that were given up while they ran.
	Broken int
	// Lost counts requests that a dying entry host took with it.
	Lost int
}

// Share returns the good requests as a share of those that no dying host took with it.
func (t Tally) Share() float64 {
	if t.Arrived == t.Lost {
		return 1
	}
	return float64(t.Good) / float64(t.Arrived-t.Lost)
}

// Result is what a policy made of a setup.
type Result struct {
	Policy        Policy
	Span          time.Duration
	Tiers         [dotterelpulley.TierCount]Tally
	Organisations map[dotterelpulley.OrganisationID]*Tally
	// FirstToken holds for each tier the microseconds from arrival to first token.
	FirstToken [dotterelpulley.TierCount]*hdrhistogram.Histogram
	// Between holds the microseconds between tokens.
	Between *hdrhistogram.Histogram
	// Prefill counts computed prompt tokens, Wasted those of requests that ended in nothing.
	Prefill int
	Wasted  int
	// Imbalance is the highest over the mean load of the engines, by their speeds.
	Imbalance float64
}

func (r *Result) tier(q *request) *Tally {
	return &r.Tiers[q.tier]
}

func (r *Result) organisation(q *request) *Tally {
	if r.Organisations == nil {
		r.Organisations = map[dotterelpulley.OrganisationID]*Tally{}
	}
	t, ok := r.Organisations[q.organisation]
	if !ok {
		t = &Tally{}
		r.Organisations[q.organisation] = t
	}
	return t
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Hour.Microseconds(), 3)
}

// P95 returns the 95th percentile of a histogram of microseconds.
func P95(h *hdrhistogram.Histogram) time.Duration {
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

func (w *world) first(r *request) {
	if w.FirstToken[r.tier] == nil {
		w.FirstToken[r.tier] = histogram()
	}
	_ = w.FirstToken[r.tier].RecordValue((w.clock.elapsed - r.arrived).Microseconds())
}

func (w *world) gap(gap time.Duration) {
	if w.Between == nil {
		w.Between = histogram()
	}
	_ = w.Between.RecordValue(gap.Microseconds())
}

func (w *world) whole(r *request, j *job) {
	w.Prefill += j.computed
	for _, t := range []*Tally{w.tier(r), w.organisation(r)} {
		t.Good++
		t.GoodTokens += j.tokens
		t.GoodWork += work(r.prompt, r.output)
	}
}

func (w *world) broken(r *request, j *job) {
	w.Prefill += j.computed
	w.Wasted += j.computed
	w.tier(r).Broken++
	w.organisation(r).Broken++
}

func (w *world) lost(r *request, j *job) {
	if j != nil {
		w.Prefill += j.computed
		w.Wasted += j.computed
	}
	w.tier(r).Lost++
	w.organisation(r).Lost++
}

func (w *world) refused(r *request, kind dotterelpulley.ErrorKind) {
	if kind == dotterelpulley.ErrorShed {
		w.tier(r).Shed++
		w.organisation(r).Shed++
		return
	}
	w.tier(r).Unreachable++
	w.organisation(r).Unreachable++
}

func (w *world) finish() {
	sum, highest := 0.0, 0.0
	for _, e := range w.engines {
		e.account()
		weighted := e.loadSum / e.speed
		sum += weighted
		highest = max(highest, weighted)
	}
	if sum > 0 {
		w.Imbalance = highest * float64(len(w.engines)) / sum
	}
}

// Goodput returns the sum over all tiers.
func (r Result) Goodput() Tally {
	var sum Tally
	for _, t := range r.Tiers {
		sum.Good += t.Good
		sum.GoodTokens += t.GoodTokens
		sum.GoodWork += t.GoodWork
	}
	return sum
}

// WriteTable writes the results side by side.
func WriteTable(to io.Writer, results ...Result) {
	tab := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "policy\ttier\tarrived\tgood\tshare\tshed\tunreachable\tbroken\tlost\tfirst-p95")
	for _, r := range results {
		for tier, t := range r.Tiers {
			if t.Arrived == 0 {
				continue
			}
			_, _ = fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%s\n", r.Policy, dotterelpulley.Tier(tier),
				t.Arrived, t.Good, t.Share(), t.Shed, t.Unreachable, t.Broken, t.Lost, P95(r.FirstToken[tier]).Round(time.Millisecond))
		}
	}
	_ = tab.Flush()
	for _, r := range results {
		sum := r.Goodput()
		_, _ = fmt.Fprintf(to, "%s: good %d requests, %d tokens, %s of engine time; between tokens p95 %s; prefill %d, wasted %d; imbalance %.2f\n",
			r.Policy, sum.Good, sum.GoodTokens, sum.GoodWork.Round(time.Second), P95(r.Between).Round(100*time.Microsecond), r.Prefill, r.Wasted, r.Imbalance)
	}
}
