package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/dispatcher"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// live runs one request from its admission to its end.
func (e *Entry) live(r *run) {
	refusal, moved := e.serve(r)
	if moved {
		e.moveOn(r)
	} else {
		e.conclude(r, refusal)
	}
	e.counters.Add("chunks-dropped", int64(r.output.late()))
	e.runs.end(r)
}

// conclude tells the claimer how the run ended; the claimer words a refusal of what was not started.
func (e *Entry) conclude(r *run, refusal *dotterelpulley.Refusal) {
	ended := claimer.RequestEnded{Ticket: r.ticket}
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
	v := e.claims.session().begin(r.request, claimer.Submit{Visited: []dotterelpulley.HostID{e.settings.Host}})
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
	if refusal := e.admissible(r.request); refusal != nil {
		return refusal, false
	}
	avoid := map[dotterelpulley.EndpointID]bool{}
	claimed := false
	var d dispatcher.Dispatcher
	for {
		if refusal := e.admit(r); refusal != nil {
			return refusal, false
		}
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
		again, refusal := e.try(r, g, &d)
		if !again {
			return refusal, false
		}
		avoid[g.endpoint.ID] = true
	}
}

// try sends the request to one endpoint; again is true only when nothing can have started there.
func (e *Entry) try(r *run, g grant, d *dispatcher.Dispatcher) (again bool, refusal *dotterelpulley.Refusal) {
	id := uuid.NewString()
	started := time.Now()
	f := isolator.FingerprintOf(r.request)
	e.isolation.started(f, g.endpoint.ID, id)
	g.follow(r.output)
	d.Resumable = g.endpoint.kind == lister.KindEngine
	result := e.attempt(r, g, id)
	defer func() {
		e.isolation.ended(g.endpoint.ID, id)
		g.release(result)
		first, last, chunks := r.output.times()
		e.followed.sample(r.request, outcome{
			grant: g, started: started, first: first, last: last, chunks: chunks,
			result: result, expired: expired(r.ctx),
		}, time.Now())
	}()
	next := d.Next(resultOf(result), r.output.length())
	for {
		switch step := next.(type) {
		case dispatcher.Finish:
			r.output.finish(endOf(g))
			e.isolation.whole(f)
			e.counters.Inc("answered-whole")
			return false, nil
		case dispatcher.RetryElsewhere:
			e.counters.Inc("retry-" + reasonOf(result))
			return true, nil
		case dispatcher.Fail:
			return false, e.give(g, id, step, result)
		case dispatcher.Resume:
			e.counters.Inc("retry-resume")
			var resumed dispatcher.Result
			result, resumed = e.resumeAfter(r, g, id, step.Delay)
			next = d.Next(resumed, r.output.length())
		}
	}
}

// give ends the request with a refusal and notes an endpoint that has died.
func (e *Entry) give(g grant, id string, step dispatcher.Fail, result attemptResult) *dotterelpulley.Refusal {
	if step.Cancel {
		e.wait.Go(func() { e.cancelRun(g, id) })
	}
	_, broken := result.(attemptBroken)
	if step.EndpointLost || broken && refuses(g.endpoint.Address, e.settings.Timeouts.Dial) {
		e.lost(g.endpoint)
	}
	return dotterelpulley.Refuse(step.Kind, 0, detailOf(step.Kind, result))
}

func detailOf(kind dotterelpulley.ErrorKind, result attemptResult) string {
	switch result := result.(type) {
	case attemptFailed:
		return result.detail
	case attemptCancelled:
		return "the request's time ended while it ran"
	case attemptNotStarted:
		return "no endpoint took the request"
	case attemptBroken, attemptWhole:
	}
	if kind == dotterelpulley.ErrorCut {
		return "the answer stopped before its end"
	}
	return "the endpoint did not answer"
}

func reasonOf(result attemptResult) string {
	if n, ok := result.(attemptNotStarted); ok {
		return n.reason
	}
	return "elsewhere"
}

func resultOf(result attemptResult) dispatcher.Result {
	switch result := result.(type) {
	case attemptWhole:
		return dispatcher.Completed{}
	case attemptNotStarted:
		return dispatcher.NotStarted{Reason: result.reason}
	case attemptFailed:
		return dispatcher.Failed{}
	case attemptCancelled:
		return dispatcher.Cancelled{}
	case attemptBroken:
		return dispatcher.Interrupted{}
	}
	return dispatcher.Interrupted{}
}

// resumeAfter waits and asks the endpoint for the rest of the run.
func (e *Entry) resumeAfter(r *run, g grant, id string, wait time.Duration) (attemptResult, dispatcher.Result) {
	select {
	case <-time.After(wait):
	case <-r.ctx.Done():
		return attemptCancelled{}, dispatcher.Cancelled{}
	}
	result, status := e.resume(r.ctx, r, g, id)
	if status == http.StatusNotFound {
		return attemptBroken{err: fmt.Errorf("endpoint %q does not know the run", g.endpoint.ID)}, dispatcher.RunNotFound{}
	}
	if n, notStarted := result.(attemptNotStarted); notStarted {
		return attemptBroken{err: fmt.Errorf("endpoint %q takes no resume: %s", g.endpoint.ID, n.reason)}, dispatcher.Unreachable{}
	}
	return result, resultOf(result)
}

func (e *Entry) attempt(r *run, g grant, id string) attemptResult {
	if g.endpoint.kind == lister.KindEngine {
		return e.complete(r.ctx, r, g, id)
	}
	return e.callPlain(e.ctx, r, g, id)
}
