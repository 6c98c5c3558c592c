package entry

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	maxAttempts = 4
	maxResumes  = 4
)

// live runs one request from its admission to its end.
func (e *Entry) live(r *run) {
	refusal, moved := e.serve(r)
	if moved {
		e.moveOn(r)
	} else {
		e.conclude(r, refusal)
	}
	e.runs.end(r)
}

// conclude tells the claimer how the run ended; the claimer words a refusal of what was not started.
func (e *Entry) conclude(r *run, refusal *dotterelpulley.Refusal) {
	ended := claimer.Ended{Ticket: r.ticket}
	switch {
	case refusal == nil:
	case refusal.Kind.Answer().Truth == dotterelpulley.NotRun:
		ended.Outcome = claimer.OutcomeNotStarted
		ended.Kind = refusal.Kind
		ended.RetryAfter = refusal.RetryAfter
	case refusal.Kind.Answer().Truth == dotterelpulley.OutcomeUnknown:
		ended.Outcome = claimer.OutcomeUnfinished
	}
	if refusal != nil {
		e.counters.Inc("refused-" + refusal.Kind.String())
	}
	if refusal != nil && ended.Outcome != claimer.OutcomeNotStarted {
		r.output.fail(refusal)
	}
	r.ending = refusal
	r.session.step(ended)
	if refusal != nil {
		r.output.fail(unclaimed(r, refusal))
	}
}

// unclaimed is said of a request that its incarnation, which has left the roster, did not start.
func unclaimed(r *run, refusal *dotterelpulley.Refusal) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, refusal.RetryAfter,
		fmt.Sprintf("incarnation %q has left the roster", r.session.core.Self.Incarnation))
}

// moveOn sends a request that was not started to the host that holds its key now.
func (e *Entry) moveOn(r *run) {
	e.counters.Inc("retry-moved")
	v := e.claims.session().begin(r.request, claimer.Begin{Passed: []dotterelpulley.HostID{e.settings.Host}})
	switch {
	case v.refusal != nil:
		r.output.fail(v.refusal)
	case v.forward != nil:
		e.forwardInto(r.ctx, r.request, *v.forward, nil, r.output)
	default:
		e.pump(r.ctx, e.runs.watch(v.run), r.output)
	}
}

// serve sends the request to endpoints until one has taken it; moved tells that another host holds its key now.
func (e *Entry) serve(r *run) (refusal *dotterelpulley.Refusal, moved bool) {
	avoid := map[dotterelpulley.EndpointID]bool{}
	claimed := false
	for range maxAttempts {
		g, refusal := e.queue.acquire(r.ctx, r.request, avoid)
		if refusal != nil {
			return refusal, false
		}
		if !claimed {
			v := r.session.claimRun(r)
			if v.moved || v.refusal != nil {
				g.release(attemptNotStarted{reason: "unclaimed"})
				return v.refusal, v.moved
			}
			claimed = true
		}
		again, refusal := e.try(r, g)
		if !again {
			return refusal, false
		}
		avoid[g.endpoint.ID] = true
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorNoEndpoint, 0, fmt.Sprintf("%d endpoints did not take the request", maxAttempts)), false
}

// try sends the request to one endpoint; again is true only when nothing can have started there.
func (e *Entry) try(r *run, g grant) (again bool, refusal *dotterelpulley.Refusal) {
	id := uuid.NewString()
	started := time.Now()
	result := e.attempt(r, g, id)
	defer func() {
		g.release(result)
		first, last, chunks := r.output.times()
		e.followed.sample(r.request, outcome{
			grant: g, started: started, first: first, last: last, chunks: chunks,
			result: result, expired: expired(r.ctx),
		}, time.Now())
	}()
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
