package standin

import "time"

// Crash closes all connections and ends all runs; the engine restarts after the configured delay, or never if it is zero.
func (e *Engine) Crash() {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.crash(time.Now())
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.crashes
}

// CrashOn makes the engine crash on any prompt that contains the text and restart after the delay, or never if it is zero.
func (e *Engine) CrashOn(text string, restartDelay time.Duration) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.faults.crashOn = text
	e.faults.restartDelay = restartDelay
}

// crash ends all runs and clears the cache; e.stateMu must be held.
func (e *Engine) crash(now time.Time) {
	e.crashes++
	e.Stop()
	unfinished := append(append([]*job(nil), e.batch.running...), e.batch.waiting...)
	for _, j := range unfinished {
		e.endJob(j, OutcomeCrashed, now)
	}
	e.jobs = map[string]*job{}
	e.jobIDs = nil
	e.batch.cache.clear()
	if e.faults.restartDelay <= 0 {
		return
	}
	restartDelay := e.faults.restartDelay
	e.tasks.Go(func() {
		if e.sleep(restartDelay) {
			_ = e.Resume()
		}
	})
}

// SlowDown multiplies the duration of every step by the factor.
func (e *Engine) SlowDown(factor float64) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.faults.slowFactor = factor
}

// ReportLeaving makes the engine mark itself as leaving in its load report.
func (e *Engine) ReportLeaving() {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.faults.leaving = true
	e.snapshot(time.Now(), snapshotAlways)
}

// ReportIdle makes the engine report that it is idle, regardless of its load.
func (e *Engine) ReportIdle() {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.faults.reportsIdle = true
}
