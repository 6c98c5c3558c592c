package standin

import "time"

const (
	roleBoth       = "both"
	idleThroughput = 10000
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

// loadHistory holds the load reports from the newest one older than the report lag on.
type loadHistory struct {
	reports      []wireLoad
	windowStart  time.Time
	windowTokens int
	rate         float64
}

// countTokens adds generated tokens to the throughput, which is measured over windows of at least a second.
func (h *loadHistory) countTokens(now time.Time, tokens int) {
	if now.Sub(h.windowStart) > throughputInterval {
		elapsed := now.Sub(h.windowStart).Seconds()
		if !h.windowStart.IsZero() {
			h.rate = float64(h.windowTokens) / elapsed
		}
		h.windowStart = now
		h.windowTokens = 0
	}
	h.windowTokens += tokens
}

// add appends a report; with snapshotIfDue, a report that closely follows the last one is dropped.
func (h *loadHistory) add(report wireLoad, lag time.Duration, mode snapshotMode) {
	if n := len(h.reports); n > 0 && mode == snapshotIfDue {
		if report.MeasuredAt.Sub(h.reports[n-1].MeasuredAt) < lag/snapshotsPerLag {
			return
		}
	}
	h.reports = append(h.reports, report)
	h.trim(report.MeasuredAt, lag)
}

// trim drops the reports that precede the newest one older than the lag.
func (h *loadHistory) trim(now time.Time, lag time.Duration) {
	for len(h.reports) > 1 && now.Sub(h.reports[1].MeasuredAt) >= lag {
		h.reports = h.reports[1:]
	}
}

type snapshotMode int

const (
	snapshotIfDue snapshotMode = iota
	snapshotAlways
)

// snapshot records the engine's current load; e.stateMu must be held.
func (e *Engine) snapshot(now time.Time, mode snapshotMode) {
	e.load.add(e.currentLoad(now), orDefault(e.ReportLag, defaultReportLag), mode)
}

func (e *Engine) currentLoad(now time.Time) wireLoad {
	load := wireLoad{
		Running:         len(e.batch.running),
		Waiting:         len(e.batch.waiting),
		TokensPerSecond: e.load.rate,
		Slots:           e.batch.slots,
		Versions:        append([]string{}, e.orders.versions...),
		Role:            e.orders.role,
		MeasuredAt:      now,
		Leaving:         e.faults.leaving,
	}
	if e.faults.reportsIdle {
		load.Running = 0
		load.Waiting = 0
		load.TokensPerSecond = idleThroughput
	}
	return load
}

// report returns the newest load report older than the report lag.
func (e *Engine) report(now time.Time) wireLoad {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.load.countTokens(now, 0)
	e.snapshot(now, snapshotIfDue)
	e.load.trim(now, orDefault(e.ReportLag, defaultReportLag))
	return e.load.reports[0]
}
