package rehearsal

import (
	"errors"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/mover"
)

const (
	service = dotterelpulley.ServiceID("lm")
	oldest  = dotterelpulley.VersionID("m@1")
	newest  = dotterelpulley.VersionID("m@2")
)

var errStale = errors.New("stale fence")

// engine is a modelled model endpoint.
type engine struct {
	mover.Endpoint
	checksFence bool
	// slowness is how many times slower than the fastest the generation is.
	slowness float64
	fence    appender.Offset
	want     []dotterelpulley.VersionID
	readyAt  time.Time
	// staleTaken counts orders that came with an older fence than one taken before.
	staleTaken int
}

func newEngines() []*engine {
	var all []*engine
	for i := range 6 {
		e := &engine{
			Endpoint: mover.Endpoint{
				ID:         dotterelpulley.EndpointID(string(rune('a' + i))),
				Service:    service,
				Generation: "g1",
				Loaded:     []dotterelpulley.VersionID{oldest},
			},
			checksFence: i%2 == 0,
			slowness:    1,
		}
		if i >= 4 {
			e.Generation, e.slowness = "g2", 2.5
		}
		all = append(all, e)
	}
	return all
}

func (e *engine) order(o mover.Order, now time.Time) error {
	if o.Fence < e.fence {
		if e.checksFence {
			return errStale
		}
		e.staleTaken++
	}
	e.fence = max(e.fence, o.Fence)
	e.want = o.Want
	e.readyAt = now
	for _, v := range o.Want {
		if !slices.Contains(e.Loaded, v) {
			e.readyAt = now.Add(loadTime)
		}
	}
	e.Loading = true
	return nil
}

func (e *engine) settle(now time.Time) {
	if e.Loading && !now.Before(e.readyAt) {
		e.Loading = false
		e.Loaded = e.want
	}
}
