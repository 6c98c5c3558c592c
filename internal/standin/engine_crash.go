package standin

import "time"

// Crash drops all connections and runs, and comes back after the time that the faults give, or never.
func (e *Engine) Crash() {
	e.state.Lock()
	defer e.state.Unlock()
	e.crash(time.Now())
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.state.Lock()
	defer e.state.Unlock()
	return e.crashes
}

// CrashOn makes the engine crash on any prompt with the text, to come back after the given time, or never if zero.
func (e *Engine) CrashOn(text string, back time.Duration) {
	e.state.Lock()
	defer e.state.Unlock()
	e.faults.crashOn = text
	e.faults.crashReturn = back
}

// crash ends every run; e.state is held.
func (e *Engine) crash(now time.Time) {
	e.crashes++
	e.Stop()
	live := append(append([]*job(nil), e.work.running...), e.work.waiting...)
	for _, j := range live {
		e.end(j, OutcomeCrashed, now)
	}
	e.jobs = map[string]*job{}
	e.ended = nil
	e.work.cache.clear()
	if e.faults.crashReturn <= 0 {
		return
	}
	back := e.faults.crashReturn
	e.tasks.Go(func() {
		if e.pause(back) {
			_ = e.Resume()
		}
	})
}

// SlowDown makes every step that many times longer.
func (e *Engine) SlowDown(factor float64) {
	e.state.Lock()
	defer e.state.Unlock()
	e.faults.slowFactor = factor
}

// Leave makes the engine say in its load report that it is leaving.
func (e *Engine) Leave() {
	e.state.Lock()
	defer e.state.Unlock()
	e.faults.leaving = true
	e.snapshot(time.Now(), keepAlways)
}

// LieAboutLoad makes the engine report that it is idle, whatever it does.
func (e *Engine) LieAboutLoad() {
	e.state.Lock()
	defer e.state.Unlock()
	e.faults.lying = true
}
