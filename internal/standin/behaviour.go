package standin

import (
	"fmt"
	"time"
)

// Behaviour is how a version behaves; the zero value is good.
type Behaviour struct {
	// Trigger tells when the version is bad; never if nil.
	Trigger Trigger
	// SlowFactor makes a bad version that many times slower; it fails instead if zero.
	SlowFactor float64
}

// Trigger tells when a bad version shows it.
type Trigger interface {
	trigger()
}

// AtOnce is bad from the first request.
type AtOnce struct{}

// AfterRequests is bad once the engine has taken more than Count requests of the version.
type AfterRequests struct {
	Count int
}

// AfterTime is bad once Age has passed since the engine's first request of the version.
type AfterTime struct {
	Age time.Duration
}

// UnderLoad is bad while more than Running requests of the version run on the engine.
type UnderLoad struct {
	Running int
}

// OnRoute is bad for the requests of one route.
type OnRoute struct {
	Route string
}

func (AtOnce) trigger()        {}
func (AfterRequests) trigger() {}
func (AfterTime) trigger()     {}
func (UnderLoad) trigger()     {}
func (OnRoute) trigger()       {}

// exposure is what a version has met on one engine.
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

// wireBehaviour is a version and its behaviour in the stand-ins' file and in fault orders.
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
