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

// execute processes one request from admission to its end.
func (e *Entry) execute(r *run) {
	refusal, moved := e.serve(r)
	if moved {
		e.forwardMoved(r)
	} else {
		e.conclude(r, refusal)
	}
	e.counters.Add("chunks-dropped", int64(r.output.droppedChunks()))
	e.runs.end(r)
}

// conclude reports the run's outcome to the claimer, which decides the refusal of a request that was not started.
func (e *Entry) conclude(r *run, refusal *dotterelpulley.Refusal) {
	event := claimer.RequestEnded{Ticket: r.ticket}
	switch {
	case refusal == nil:
	case refusal.Kind.Answer().Truth == dotterelpulley.NotRun:
		event.Outcome = claimer.OutcomeNotStarted
		event.Kind = refusal.Kind
		event.RetryAfter = refusal.RetryAfter
	case refusal.Kind.Answer().Truth == dotterelpulley.OutcomeUnknown:
		event.Outcome = claimer.OutcomeUnfinished
	}
	if refusal != nil {
		e.counters.Inc("refused-" + refusal.Kind.String())
	}
	if refusal != nil && event.Outcome != claimer.OutcomeNotStarted {
		r.output.fail(refusal)
	}
	r.refusal = refusal
	r.session.step(event)
	if refusal != nil {
		r.output.fail(leftRosterRefusal(r, refusal))
	}
}

// leftRosterRefusal returns the refusal of a request that was not started because its incarnation has left the roster.
func leftRosterRefusal(r *run, refusal *dotterelpulley.Refusal) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, refusal.RetryAfter,
		fmt.Sprintf("incarnation %q has left the roster", r.session.core.Self.Incarnation))
}

// forwardMoved passes a request that was not started to the host that holds its key now.
func (e *Entry) forwardMoved(r *run) {
	e.counters.Inc("retry-moved")
	decision := e.claims.session().begin(r.request, claimer.Submit{Visited: []dotterelpulley.HostID{e.settings.Host}})
	switch {
	case decision.refusal != nil:
		r.output.fail(decision.refusal)
	case decision.forward != nil:
		e.forwardInto(r.ctx, r.request, *decision.forward, nil, r.output)
	default:
		e.copyRun(r.ctx, e.runs.subscribe(decision.run), r.output)
	}
}

// serve tries endpoints until one has accepted the request; moved reports that another host holds its key now.
func (e *Entry) serve(r *run) (refusal *dotterelpulley.Refusal, moved bool) {
	if refusal := e.checkAdmissible(r.request); refusal != nil {
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
			decision := r.session.claimRun(r)
			if decision.moved || decision.refusal != nil {
				g.release(attemptNotStarted{reason: "unclaimed"})
				return decision.refusal, decision.moved
			}
			claimed = true
		}
		retry, refusal := e.tryEndpoint(r, g, &d)
		if !retry {
			return refusal, false
		}
		avoid[g.endpoint.ID] = true
	}
}

// tryEndpoint sends the request to one endpoint; retry is true only if the endpoint cannot have started the request.
func (e *Entry) tryEndpoint(r *run, g grant, d *dispatcher.Dispatcher) (retry bool, refusal *dotterelpulley.Refusal) {
	id := uuid.NewString()
	started := time.Now()
	fingerprint := isolator.FingerprintOf(r.request)
	e.isolation.started(fingerprint, g.endpoint.ID, id)
	g.observe(r.output)
	d.Resumable = g.endpoint.kind == lister.KindEngine
	result := e.attempt(r, g, id)
	defer func() {
		e.isolation.ended(g.endpoint.ID, id)
		g.release(result)
		first, last, chunks := r.output.times()
		e.logState.addSample(r.request, attemptOutcome{
			grant: g, started: started, first: first, last: last, chunks: chunks,
			result: result, expired: expired(r.ctx),
		}, time.Now())
	}()
	next := d.Next(dispatcherResult(result), r.output.length())
	for {
		switch step := next.(type) {
		case dispatcher.Finish:
			r.output.finish(newAnswerEnd(g))
			e.isolation.completed(fingerprint)
			e.counters.Inc("answered-whole")
			return false, nil
		case dispatcher.RetryElsewhere:
			e.counters.Inc("retry-" + retryReason(result))
			return true, nil
		case dispatcher.Fail:
			return false, e.failAttempt(g, id, step, result)
		case dispatcher.Resume:
			e.counters.Inc("retry-resume")
			var resumed dispatcher.Result
			result, resumed = e.resumeAfter(r, g, id, step.Delay)
			next = d.Next(resumed, r.output.length())
		}
	}
}

// failAttempt returns the refusal of a request whose attempt failed and reports the endpoint if it has crashed.
func (e *Entry) failAttempt(g grant, id string, step dispatcher.Fail, result attemptResult) *dotterelpulley.Refusal {
	if step.Cancel {
		e.tasks.Go(func() { e.cancelRun(g, id) })
	}
	_, interrupted := result.(attemptInterrupted)
	if step.EndpointLost || interrupted && refusesConnections(g.endpoint.Address, e.settings.Timeouts.Dial) {
		e.reportCrash(g.endpoint)
	}
	return dotterelpulley.Refuse(step.Kind, 0, refusalDetail(step.Kind, result))
}

func refusalDetail(kind dotterelpulley.ErrorKind, result attemptResult) string {
	switch result := result.(type) {
	case attemptFailed:
		return result.detail
	case attemptCancelled:
		return "the request's time ended while it ran"
	case attemptNotStarted:
		return "no endpoint took the request"
	case attemptInterrupted, attemptCompleted:
	}
	if kind == dotterelpulley.ErrorCut {
		return "the answer stopped before its end"
	}
	return "the endpoint did not answer"
}

func retryReason(result attemptResult) string {
	if n, ok := result.(attemptNotStarted); ok {
		return n.reason
	}
	return "elsewhere"
}

func dispatcherResult(result attemptResult) dispatcher.Result {
	switch result := result.(type) {
	case attemptCompleted:
		return dispatcher.Completed{}
	case attemptNotStarted:
		return dispatcher.NotStarted{Reason: result.reason}
	case attemptFailed:
		return dispatcher.Failed{}
	case attemptCancelled:
		return dispatcher.Cancelled{}
	case attemptInterrupted:
		return dispatcher.Interrupted{}
	}
	return dispatcher.Interrupted{}
}

// resumeAfter waits and then requests the rest of the run from the endpoint.
func (e *Entry) resumeAfter(r *run, g grant, id string, wait time.Duration) (attemptResult, dispatcher.Result) {
	select {
	case <-time.After(wait):
	case <-r.ctx.Done():
		return attemptCancelled{}, dispatcher.Cancelled{}
	}
	result, status := e.resume(r.ctx, r, g, id)
	if status == http.StatusNotFound {
		return attemptInterrupted{err: fmt.Errorf("endpoint %q does not know the run", g.endpoint.ID)}, dispatcher.RunNotFound{}
	}
	if n, notStarted := result.(attemptNotStarted); notStarted {
		return attemptInterrupted{err: fmt.Errorf("endpoint %q did not accept the resume call: %s", g.endpoint.ID, n.reason)}, dispatcher.Unreachable{}
	}
	return result, dispatcherResult(result)
}

func (e *Entry) attempt(r *run, g grant, id string) attemptResult {
	if g.endpoint.kind == lister.KindEngine {
		return e.complete(r.ctx, r, g, id)
	}
	return e.callPlain(e.ctx, r, g, id)
}
