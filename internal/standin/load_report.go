package standin

import "time"

const (
	roleBoth        = "both"
	lyingThroughput = 10000
)

type wireLoad struct {
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Slots           int       `json:"slots"`
	Versions        []string  `json:"versions"`
	Role            string    `json:"role"`
	MeasuredAt      time.Time `json:"measured_at"`
	Leaving         bool      `json:"leaving"`
}

// loadHistory keeps load reports until they are old enough to be given.
type loadHistory struct {
	reports []wireLoad
	since   time.Time
	tokens  int
	rate    float64
}

// emitted counts generated tokens for the throughput of the last whole second.
func (h *loadHistory) emitted(now time.Time, tokens int) {
	if now.Sub(h.since) > throughputInterval {
		elapsed := now.Sub(h.since).Seconds()
		if !h.since.IsZero() {
			h.rate = float64(h.tokens) / elapsed
		}
		h.since = now
		h.tokens = 0
	}
	h.tokens += tokens
}

// add keeps a report; one that comes soon after the last is left out unless it must be kept.
func (h *loadHistory) add(report wireLoad, lag time.Duration, must mustKeep) {
	if n := len(h.reports); n > 0 && must == mayDrop {
		if report.MeasuredAt.Sub(h.reports[n-1].MeasuredAt) < lag/snapshotsPerLag {
			return
		}
	}
	h.reports = append(h.reports, report)
	h.trim(report.MeasuredAt, lag)
}

// trim drops the reports that are older than the one to be given.
func (h *loadHistory) trim(now time.Time, lag time.Duration) {
	for len(h.reports) > 1 && now.Sub(h.reports[1].MeasuredAt) >= lag {
		h.reports = h.reports[1:]
	}
}

type mustKeep int

const (
	mayDrop mustKeep = iota
	keepAlways
)

// snapshot keeps the engine's load as it is now; e.state is held.
func (e *Engine) snapshot(now time.Time, must mustKeep) {
	e.load.add(e.loadNow(now), orDefault(e.ReportLag, defaultReportLag), must)
}

func (e *Engine) loadNow(now time.Time) wireLoad {
	load := wireLoad{
		Running:         len(e.work.running),
		Waiting:         len(e.work.waiting),
		TokensPerSecond: e.load.rate,
		Slots:           e.work.slots,
		Versions:        append([]string{}, e.orders.versions...),
		Role:            e.orders.role,
		MeasuredAt:      now,
		Leaving:         e.faults.leaving,
	}
	if e.faults.lying {
		load.Running = 0
		load.Waiting = 0
		load.TokensPerSecond = lyingThroughput
	}
	return load
}

// report returns the newest load report that is old enough.
func (e *Engine) report(now time.Time) wireLoad {
	e.state.Lock()
	defer e.state.Unlock()
	e.load.emitted(now, 0)
	e.snapshot(now, mayDrop)
	e.load.trim(now, orDefault(e.ReportLag, defaultReportLag))
	return e.load.reports[0]
}
