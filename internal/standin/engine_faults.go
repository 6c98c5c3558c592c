package standin

import "time"

type wireEngineFaults struct {
	wireServerFaults
	Crash       *bool           `json:"crash"`
	CrashOn     *string         `json:"crash-on"`
	CrashReturn *wireDuration   `json:"crash-return"`
	SlowFactor  *float64        `json:"slow-factor"`
	Leaving     *bool           `json:"leaving"`
	LyingLoad   *bool           `json:"lying-load"`
	NotAdmitted *bool           `json:"not-admitted"`
	ReportLag   *wireDuration   `json:"report-lag"`
	Versions    []wireBehaviour `json:"versions"`
}

func (e *Engine) applyFaults(w wireEngineFaults) error {
	if err := e.applyEngineFaults(w); err != nil {
		return err
	}
	if w.Crash != nil && *w.Crash {
		e.Crash()
	}
	return e.apply(w.wireServerFaults)
}

func (e *Engine) applyEngineFaults(w wireEngineFaults) error {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	setIfPresent(&e.faults.crashOn, w.CrashOn)
	setIfPresent(&e.faults.restartDelay, (*time.Duration)(w.CrashReturn))
	setIfPresent(&e.faults.slowFactor, w.SlowFactor)
	setIfPresent(&e.faults.leaving, w.Leaving)
	setIfPresent(&e.faults.reportsIdle, w.LyingLoad)
	setIfPresent(&e.faults.notAdmitted, w.NotAdmitted)
	setIfPresent(&e.ReportLag, (*time.Duration)(w.ReportLag))
	for _, v := range w.Versions {
		if err := e.setBehaviour(v); err != nil {
			return err
		}
	}
	e.snapshot(time.Now(), snapshotAlways)
	return nil
}

// setBehaviour sets the behaviour of a version for later requests; e.stateMu must be held.
func (e *Engine) setBehaviour(w wireBehaviour) error {
	b, err := w.fromWire()
	if err != nil {
		return err
	}
	if e.Behaviours == nil {
		e.Behaviours = map[string]Behaviour{}
	}
	e.Behaviours[w.Version] = b
	return nil
}

// setIfPresent sets the field to the value unless the value is nil.
func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}
