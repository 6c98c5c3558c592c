package standin

import (
	"fmt"
	"time"
)

// Behaviour describes whether and how a version fails; the zero value is a good version.
type Behaviour struct {
	// Trigger is the condition under which the version is bad; it is always good if nil.
	Trigger Trigger
	// SlowFactor is how many times slower a bad version runs; if zero, its requests fail instead.
	SlowFactor float64
}

// Trigger is a condition under which a version is bad.
type Trigger interface {
	trigger()
}

// AtOnce triggers from the first request.
type AtOnce struct{}

// AfterRequests triggers once the engine has accepted more than Count requests for the version.
type AfterRequests struct {
	Count int
}

// AfterTime triggers once Age has passed since the engine's first request for the version.
type AfterTime struct {
	Age time.Duration
}

// UnderLoad triggers while more than Running requests for the version run on the engine.
type UnderLoad struct {
	Running int
}

// OnRoute triggers for the requests of one route.
type OnRoute struct {
	Route string
}

func (AtOnce) trigger()        {}
func (AfterRequests) trigger() {}
func (AfterTime) trigger()     {}
func (UnderLoad) trigger()     {}
func (OnRoute) trigger()       {}

// exposure is the state of a version on one engine against which its trigger is checked.
type exposure struct {
	requests int
	running  int
	age      time.Duration
	route    string
}

func (b Behaviour) bad(e exposure) bool {
	switch t := b.Trigger.(type) {
	case nil:
		return false
	case AtOnce:
		return true
	case AfterRequests:
		return e.requests > t.Count
	case AfterTime:
		return e.age >= t.Age
	case UnderLoad:
		return e.running > t.Running
	case OnRoute:
		return e.route == t.Route
	}
	return false
}

// wireBehaviour is the encoding of a version and its behaviour in the file of a set and in fault requests.
type wireBehaviour struct {
	Version       string       `json:"version" toml:"version"`
	Behaviour     string       `json:"behaviour" toml:"behaviour"`
	SlowFactor    float64      `json:"slow-factor" toml:"slow-factor"`
	AfterRequests int          `json:"after-requests" toml:"after-requests"`
	After         wireDuration `json:"after" toml:"after"`
	OverRunning   int          `json:"over-running" toml:"over-running"`
	Route         string       `json:"route" toml:"route"`
}

func (w wireBehaviour) fromWire() (Behaviour, error) {
	b := Behaviour{SlowFactor: w.SlowFactor}
	switch w.Behaviour {
	case "good", "":
	case "bad-at-once":
		b.Trigger = AtOnce{}
	case "bad-later":
		b.Trigger = AfterRequests{Count: w.AfterRequests}
		if w.After > 0 {
			b.Trigger = AfterTime{Age: time.Duration(w.After)}
		}
	case "bad-under-load":
		b.Trigger = UnderLoad{Running: w.OverRunning}
	case "bad-on-route":
		b.Trigger = OnRoute{Route: w.Route}
	default:
		return b, fmt.Errorf("behaviour %q of version %q is none of good, bad-at-once, bad-later, bad-under-load, bad-on-route", w.Behaviour, w.Version)
	}
	return b, nil
}
