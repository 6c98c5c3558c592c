package entry

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	maxAttempts = 4
	maxResumes  = 4
)

// live runs one request from its admission to its end.
func (e *Entry) live(r *run) {
	if refusal := e.serve(r); refusal != nil {
		e.counters.Inc("refused-" + refusal.Kind.String())
		r.output.fail(refusal)
		if refusal.Kind.Answer().Truth == dotterelpulley.NotRun {
			e.runs.forget(r)
			return
		}
	}
	e.runs.end(r, time.Now())
}

func (e *Entry) serve(r *run) *dotterelpulley.Refusal {
	avoid := map[dotterelpulley.EndpointID]bool{}
	for range maxAttempts {
		g, refusal := e.queue.acquire(r.ctx, r.request, avoid)
		if refusal != nil {
			return refusal
		}
		again, refusal := e.try(r, g)
		if !again {
			return refusal
		}
		avoid[g.endpoint.ID] = true
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorNoEndpoint, 0, fmt.Sprintf("%d endpoints did not take the request", maxAttempts))
}

// try sends the request to one endpoint; again is true only when nothing can have started there.
func (e *Entry) try(r *run, g grant) (again bool, refusal *dotterelpulley.Refusal) {
	id := uuid.NewString()
	r.output.onBegin(g.begun)
	result := e.attempt(r, g, id)
	defer func() { g.release(result, r.output.paceSoFar()) }()
	for range maxResumes {
		_, broken := result.(attemptBroken)
		if !broken || g.endpoint.kind != lister.KindEngine {
			break
		}
		e.counters.Inc("retry-resume")
		result = e.resume(r.ctx, r, g, id)
		if _, notStarted := result.(attemptNotStarted); notStarted {
			result = attemptBroken{err: fmt.Errorf("endpoint %q is gone", g.endpoint.ID)}
			break
		}
	}
	return e.judge(r, g, id, result)
}

func (e *Entry) attempt(r *run, g grant, id string) attemptResult {
	if g.endpoint.kind == lister.KindEngine {
		return e.complete(r.ctx, r, g, id)
	}
	return e.callPlain(r.ctx, r, g, id)
}

func (e *Entry) judge(r *run, g grant, id string, result attemptResult) (again bool, refusal *dotterelpulley.Refusal) {
	switch result := result.(type) {
	case attemptWhole:
		r.output.finish(endOf(g))
		e.counters.Inc("answered-whole")
		return false, nil
	case attemptNotStarted:
		e.counters.Inc("retry-" + result.reason)
		return true, nil
	case attemptFailed:
		return false, dotterelpulley.Refuse(dotterelpulley.ErrorRunFailed, 0, result.detail)
	case attemptCancelled:
		if g.endpoint.kind == lister.KindEngine {
			e.cancelRun(g, id)
		}
		return false, dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the request's time ended while it ran")
	case attemptBroken:
		if r.output.length() > 0 {
			return false, dotterelpulley.Refuse(dotterelpulley.ErrorCut, 0, "the answer stopped before its end")
		}
		return false, dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the endpoint did not answer")
	}
	return false, dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the attempt ended in no known way")
}
