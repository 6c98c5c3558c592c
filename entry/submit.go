package entry

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// watch is one reader's hold on an output.
type watch struct {
	*output
	// leave says that the reader has gone.
	leave func()
}

// submit runs the request here or on the host that holds its key.
func (e *Entry) submit(req dotterelpulley.Request) (watch, *dotterelpulley.Refusal) {
	if e.draining.Load() {
		return watch{}, dotterelpulley.Refuse(dotterelpulley.ErrorDraining, 0, "the host is leaving")
	}
	holder := e.holder(req.Key)
	if holder.ID != e.settings.Host {
		return e.forward(req, holder), nil
	}
	return e.submitHere(req)
}

// submitHere runs the request on this host, or attaches to its run.
func (e *Entry) submitHere(req dotterelpulley.Request) (watch, *dotterelpulley.Refusal) {
	r, fresh, refusal := e.runs.attach(e.ctx, req)
	if refusal != nil {
		return watch{}, refusal
	}
	if fresh {
		e.wait.Go(func() { e.live(r) })
	} else {
		e.counters.Inc("attached")
	}
	return watch{output: r.output, leave: func() { e.runs.leave(r, time.Now()) }}, nil
}
