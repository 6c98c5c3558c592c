package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// mostTries bounds the endpoints that one request is sent to, those that did not run it included.
	mostTries = 4
	// drainedRetry sends a caller to another host at once.
	drainedRetry = 50 * time.Millisecond
)

// life is one request's way over one or more endpoints.
type life struct {
	*request
	g   *Gateway
	out *output
	// ran counts the endpoints that may have run the request; tries counts all.
	ran    int
	tries  int
	except map[dotterelpulley.EndpointID]bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
}

// try is one dispatch to one endpoint.
type try struct {
	scheduler.Placed
	attempt isolator.AttemptID
	began   time.Time
}

// outcome tells what follows a try.
type outcome int

const (
	// outcomeDone needs nothing more.
	outcomeDone outcome = iota
	// outcomeElsewhere goes to another endpoint.
	outcomeElsewhere
	// outcomeFailed ends with a failure, for which the caller has nothing yet or a part.
	outcomeFailed
)

// live sends the request to endpoints until the caller has its final answer.
func (g *Gateway) live(w http.ResponseWriter, r *http.Request, q *request) {
	l := &life{request: q, g: g, out: &output{writer: w, control: http.NewResponseController(w)}, except: map[dotterelpulley.EndpointID]bool{}}
	g.metrics.Inc("requests")
	g.mutex.Lock()
	g.budget.Deposit(q.arrived, q.service)
	g.mutex.Unlock()
	if q.route.Kind == router.Streaming && g.drain.late(q.arrived) {
		no := refuse(dotterelpulley.ErrorDraining, "a new stream may outlast the shutdown")
		no.retryAfter = drainedRetry
		l.refuse(no)
		return
	}
	parent := r.Context()
	if !q.route.Repeatable() && q.route.Kind != router.Streaming {
		// A call that may run once goes on when its caller leaves: breaking it off leaves its outcome unknown.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	for {
		placed, no := l.acquire(ctx, r.Context())
		if no != nil {
			l.refuse(no)
			return
		}
		switch l.send(ctx, placed) {
		case outcomeDone:
			return
		case outcomeElsewhere:
			continue
		case outcomeFailed:
			l.fail(ctx)
			return
		}
	}
}

// acquire waits for an endpoint; leaving is the context that ends when the caller leaves.
func (l *life) acquire(ctx, leaving context.Context) (scheduler.Placed, *refusal) {
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(leaving, stop)()
	d, err := l.g.queue.acquire(waiting, scheduler.Work{
		ID:      scheduler.ID(l.g.nextID.Add(1)),
		Urgency: scheduler.Urgency{Priority: scheduler.Priority(l.priority), Rank: scheduler.Priority(l.route.Priority)},
		Service: l.service,
		Arrived: l.arrived, Objective: l.route.Objective, MaxEventInterval: l.route.MaxEventInterval, Deadline: l.deadline,
		Prompt: l.PromptTokens, Answer: l.expected(), ExcludedEndpoints: l.except,
	})
	if err != nil {
		if leaving.Err() != nil {
			return scheduler.Placed{}, refuse(dotterelpulley.ErrorCancelled, "the caller left")
		}
		return scheduler.Placed{}, refuse(dotterelpulley.ErrorDeadlinePassed, "the deadline passed in the queue")
	}
	switch d := d.(type) {
	case scheduler.Placed:
		return d, nil
	case scheduler.Refused:
		kind := dotterelpulley.ErrorDeadlineUnreachable
		if d.Reason == scheduler.ReasonNoEndpoint {
			kind = dotterelpulley.ErrorNoEndpoint
		}
		no := refuse(kind, fmt.Sprintf("%s, %d waiting", d.Reason, d.Waiting))
		no.retryAfter = d.RetryAfter
		return scheduler.Placed{}, no
	}
	return scheduler.Placed{}, refuse(dotterelpulley.ErrorNoEndpoint, "no decision")
}

// expected is the likely number of tokens of the answer.
func (l *life) expected() dotterelpulley.Tokens {
	if l.EstimatedTokens > 0 && (l.MaxTokens == 0 || l.EstimatedTokens < l.MaxTokens) {
		return l.EstimatedTokens
	}
	return l.MaxTokens
}

// send gives the request to the endpoint and passes its answer on.
func (l *life) send(ctx context.Context, placed scheduler.Placed) outcome {
	g := l.g
	now := time.Now()
	l.tries++
	t := try{Placed: placed, attempt: isolator.AttemptOf(fmt.Sprintf("%s/%d", l.AttemptID, l.tries)), began: now}
	g.mutex.Lock()
	g.isolation.Started(now, l.fingerprint, placed.Endpoint.ID, t.attempt)
	g.mutex.Unlock()
	header := l.header.Clone()
	platform.Dispatch{
		Endpoint: placed.Endpoint.ID, Organisation: l.organisation,
		Remaining: time.Until(l.deadline), LastEventID: l.lastEvent,
	}.Apply(header)
	x, err := g.connector.Do(ctx, placed.Endpoint.Address, connector.Request{
		Method: l.method, Target: l.target, Host: l.host, Header: header, Body: l.body,
		MatchesResponse: func(h http.Header) bool {
			id := platform.DecodeResponseMetadata(0, h).AttemptID
			return id == "" || id == l.AttemptID
		},
	})
	if err != nil {
		return l.unanswered(ctx, t, err)
	}
	return l.answered(ctx, t, x)
}

// unanswered decides what follows an exchange without an answer.
func (l *life) unanswered(ctx context.Context, t try, err error) outcome {
	var failure *connector.ExchangeError
	sent := !errors.As(err, &failure) || failure.MaybeSent
	if !sent {
		l.g.connector.CloseIdle(t.Endpoint.Address)
		result := scheduler.ResultUnreachable
		if failure.ConnectionRefused {
			result = scheduler.ResultDead
		}
		l.end(t, result, err)
		return l.elsewhere()
	}
	l.ran++
	return l.interrupted(ctx, t, err)
}

// interrupted decides what follows a run that either side ended early.
func (l *life) interrupted(ctx context.Context, t try, err error) outcome {
	if ctx.Err() != nil {
		l.end(t, scheduler.ResultCancelled, err)
		return outcomeFailed
	}
	return l.broken(ctx, t, err)
}

// broken decides what follows a run that the endpoint did not bring to its end.
func (l *life) broken(ctx context.Context, t try, err error) outcome {
	if l.g.connector.RefusesConnections(ctx, t.Endpoint.Address) {
		l.g.mutex.Lock()
		l.g.died(time.Now(), t.Endpoint.ID)
		l.g.mutex.Unlock()
		l.g.connector.CloseIdle(t.Endpoint.Address)
		l.end(t, scheduler.ResultDead, fmt.Errorf("the endpoint crashed: %w", err))
	} else {
		l.end(t, scheduler.ResultFailed, err)
	}
	if !l.route.Repeatable() || !l.mayRunAgain() {
		return outcomeFailed
	}
	return l.again()
}

// mayRunAgain reports whether the route allows the request on one more endpoint.
func (l *life) mayRunAgain() bool {
	return l.ran < l.route.MaxAttempts && time.Until(l.deadline) > 0
}

// elsewhere goes to another endpoint after one that has certainly not run the request.
func (l *life) elsewhere() outcome {
	if l.tries >= mostTries {
		return outcomeFailed
	}
	return outcomeElsewhere
}

// again takes one repeat out of the budget.
func (l *life) again() outcome {
	l.g.mutex.Lock()
	ok := l.g.budget.Withdraw(time.Now(), l.service)
	l.g.mutex.Unlock()
	if !ok {
		l.g.metrics.Inc("repeats-over-budget")
		return outcomeFailed
	}
	l.g.metrics.Inc("repeats")
	return l.elsewhere()
}

// end frees the endpoint's place and writes the try's line.
func (l *life) end(t try, result scheduler.Result, err error) {
	now := time.Now()
	l.g.mutex.Lock()
	l.g.isolation.Ended(t.Endpoint.ID, t.attempt)
	if result == scheduler.ResultCompleted {
		l.g.isolation.Completed(now, l.fingerprint)
	}
	l.g.mutex.Unlock()
	l.g.queue.update(func(now time.Time, s *scheduler.Scheduler) { s.Ended(now, t.ID, result) })
	if result != scheduler.ResultCompleted {
		l.except[t.Endpoint.ID] = true
		l.g.metrics.Inc("tries-" + resultNames[result])
		l.g.decided(log.InfoLevel, "try-ended", l.request).Str("endpoint", string(t.Endpoint.ID)).
			Str("result", resultNames[result]).Int("load", t.Load).Dur("load-age", t.LoadAge).
			Dur("took", now.Sub(t.began)).Int("try", l.tries).Err(err).Msg("")
	}
}

var resultNames = map[scheduler.Result]string{
	scheduler.ResultCompleted: "whole", scheduler.ResultRefused: "refused", scheduler.ResultFailed: "failed",
	scheduler.ResultUnreachable: "unreached", scheduler.ResultDead: "dead", scheduler.ResultWrongInstance: "moved", scheduler.ResultCancelled: "left",
}

// refuse ends a request that no endpoint has run, or that one may have run in part.
func (l *life) refuse(no *refusal) {
	if l.ran > 0 {
		// Only what has certainly not run may be refused as such.
		l.fail(context.Background())
		return
	}
	l.g.giveBack(l.request)
	if no.kind == dotterelpulley.ErrorDeadlinePassed {
		no.status = http.StatusServiceUnavailable
	}
	l.g.answerRefusal(l.out.writer, l.request, no)
}

// whyCut tells why a stream ended before its last event.
func whyCut(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed in the stream"
	case ctx.Err() != nil:
		return "the caller left or the host ended"
	}
	return "the endpoint broke the stream and it may not go on elsewhere"
}

// fail ends a request whose outcome isn't known, or that no endpoint took.
func (l *life) fail(ctx context.Context) {
	switch {
	case l.out.begun:
		l.g.metrics.Inc("answers-cut")
		l.g.decided(log.WarnLevel, "cut", l.request).Str("why", whyCut(ctx)).Msg("")
		panic(http.ErrAbortHandler)
	case l.ran == 0:
		no := refuse(dotterelpulley.ErrorNoEndpoint, fmt.Sprintf("%d endpoints did not take it", l.tries))
		l.refuse(no)
	case errors.Is(ctx.Err(), context.Canceled):
		l.g.answerRefusal(l.out.writer, l.request, refuse(dotterelpulley.ErrorCancelled, "the caller left or the host ended"))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		no := refuse(dotterelpulley.ErrorDeadlinePassed, "no answer by the deadline")
		l.g.answerRefusal(l.out.writer, l.request, no)
	default:
		l.g.answerRefusal(l.out.writer, l.request, refuse(dotterelpulley.ErrorOutcomeUnknown, "the endpoint gave no whole answer"))
	}
}
