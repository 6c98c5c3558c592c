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
	if err := e.applyOwn(w); err != nil {
		return err
	}
	if w.Crash != nil && *w.Crash {
		e.Crash()
	}
	return e.apply(w.wireServerFaults)
}

func (e *Engine) applyOwn(w wireEngineFaults) error {
	e.state.Lock()
	defer e.state.Unlock()
	set(&e.faults.crashOn, w.CrashOn)
	set(&e.faults.crashReturn, (*time.Duration)(w.CrashReturn))
	set(&e.faults.slowFactor, w.SlowFactor)
	set(&e.faults.leaving, w.Leaving)
	set(&e.faults.lying, w.LyingLoad)
	set(&e.faults.notAdmitted, w.NotAdmitted)
	set(&e.ReportLag, (*time.Duration)(w.ReportLag))
	for _, v := range w.Versions {
		if err := e.setBehaviour(v); err != nil {
			return err
		}
	}
	e.snapshot(time.Now(), keepAlways)
	return nil
}

// setBehaviour changes how a version behaves for the requests to come; e.state is held.
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

// set sets the field to the value, if there is one.
func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}
