package simulator

import (
	"errors"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/mover"
)

const (
	service    = dotterelpulley.ServiceID("lm")
	oldVersion = dotterelpulley.VersionID("m@1")
	newVersion = dotterelpulley.VersionID("m@2")
)

var errStaleFence = errors.New("stale fence")

// engine is a simulated model endpoint.
type engine struct {
	mover.Endpoint
	checksFence bool
	// slowdown is the latency factor of the generation, relative to the fastest one.
	slowdown       float64
	fence          appender.Offset
	wantedVersions []dotterelpulley.VersionID
	readyAt        time.Time
	// staleOrdersAccepted counts accepted orders whose fence is older than that of an earlier order.
	staleOrdersAccepted int
}

func newEngines() []*engine {
	var engines []*engine
	for i := range 6 {
		e := &engine{
			Endpoint: mover.Endpoint{
				ID:         dotterelpulley.EndpointID(string(rune('a' + i))),
				Service:    service,
				Generation: "g1",
				Loaded:     []dotterelpulley.VersionID{oldVersion},
			},
			checksFence: i%2 == 0,
			slowdown:    1,
		}
		if i >= 4 {
			e.Generation, e.slowdown = "g2", 2.5
		}
		engines = append(engines, e)
	}
	return engines
}

func (e *engine) applyOrder(o mover.Order, now time.Time) error {
	if o.Fence < e.fence {
		if e.checksFence {
			return errStaleFence
		}
		e.staleOrdersAccepted++
	}
	e.fence = max(e.fence, o.Fence)
	e.wantedVersions = o.Want
	e.readyAt = now
	for _, v := range o.Want {
		if !slices.Contains(e.Loaded, v) {
			e.readyAt = now.Add(loadTime)
		}
	}
	e.Loading = true
	return nil
}

func (e *engine) finishLoading(now time.Time) {
	if e.Loading && !now.Before(e.readyAt) {
		e.Loading = false
		e.Loaded = e.wantedVersions
	}
}
