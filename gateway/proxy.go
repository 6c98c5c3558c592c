package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/abbreviator"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/pathfinder"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// maxEndpointAttempts limits the endpoints to which one request is sent, including those that did not run it.
	maxEndpointAttempts = 4
)

// proxiedRequest is a request with the state of its attempts at endpoints.
type proxiedRequest struct {
	*request
	gateway  *Gateway
	response *responseWriter
	caller   caller
	// sends tells whether the request may have run; attempts counts the endpoints that it was sent to.
	sends    sends
	attempts int
	repeats  repeats
	excluded map[dotterelpulley.EndpointID]bool
	// excludedHelpers are the hosts that didn't take the request, helperRefusal is what the last of them answered.
	excludedHelpers map[dotterelpulley.HostID]bool
	helperRefusal   *refusal
	silentEndpoint  silentEndpoint
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// unresumable means that the last event's id couldn't be kept.
	unresumable bool
	// lastError is why the last attempt ended, notContinued why no other endpoint got the request after it.
	lastError    error
	notContinued string
	// events counts the events of the current attempt.
	events int
}

// attempt is one dispatch of the request to one endpoint.
type attempt struct {
	scheduler.Placed
	attemptID isolator.AttemptID
	startedAt time.Time
	// number counts the request's attempts from 1.
	number int
	// helper is the host that the request goes through; zero if it goes to an endpoint.
	helper pathfinder.Helper
	// arrived means that its arrival has been noted, as it was on its way for long.
	arrived bool
	// carrier is the connection that it was made on.
	carrier connector.Carrier
}

// throughHost reports whether the request goes through another host.
func (a attempt) throughHost() bool {
	return a.helper.ID != ""
}

// outcome says how the request continues after an attempt.
type outcome int

const (
	// outcomeDone means that the request is finished.
	outcomeDone outcome = iota
	// outcomeNextEndpoint means that the request is sent to another endpoint.
	outcomeNextEndpoint
	// outcomeFailed means that the request has failed; the caller has received nothing or a part of the response.
	outcomeFailed
)

// proxy sends the request to endpoints until the caller has its final response.
func (g *Gateway) proxy(w http.ResponseWriter, r *http.Request, q *request) {
	p := &proxiedRequest{request: q, gateway: g, response: &responseWriter{writer: w, controller: http.NewResponseController(w)}, excluded: map[dotterelpulley.EndpointID]bool{}}
	p.exclude(q.arrivals.endpoints)
	g.metrics.Inc("requests")
	defer p.caller.watch(r.Context(), &g.metrics)()
	if !q.origin.forwarded {
		g.mutex.Lock()
		g.retryBudget.Deposit(q.arrived, q.service)
		g.mutex.Unlock()
		defer p.returnRepeat()
	}
	parent := r.Context()
	if !q.route.Repeatable() && q.route.Kind != router.Streaming {
		// A non-idempotent call that has been sent continues when its caller leaves: aborting it would leave its outcome unknown.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, q.deadline)
	defer cancel()
	defer context.AfterFunc(g.requests, cancel)()
	for {
		if p.caller.left() {
			// Whether its last send ran or not, nobody waits for another one.
			p.refuse(callerLeftRefusal())
			return
		}
		if refused := p.refuseLate(); refused != nil {
			p.refuse(refused)
			return
		}
		switch p.sendOn(ctx) {
		case outcomeDone:
			return
		case outcomeNextEndpoint:
			continue
		case outcomeFailed:
			p.fail(ctx)
			return
		}
	}
}

// sendOn sends the request to the next endpoint, or through another host.
func (p *proxiedRequest) sendOn(ctx context.Context) outcome {
	switch {
	case p.sends.runs() > 0 && !p.canRunAgain():
		return p.sendBack(ctx)
	case p.mustForward():
		return p.forward(ctx)
	case p.canReturn():
		// The silent endpoint is at hand, so that the stream waits for no other one.
		if placed, ok := p.gateway.queue.tryAcquire(p.work()); ok {
			return p.send(ctx, placed)
		}
		if placed, ok := p.placeAgain(); ok {
			return p.send(ctx, placed)
		}
	}
	return p.sendToEndpoint(ctx)
}

// sendToEndpoint waits for an endpoint and sends the request to it.
func (p *proxiedRequest) sendToEndpoint(ctx context.Context) outcome {
	placed, refused := p.acquireEndpoint(ctx)
	if p.mustForward() && refused != nil && ctx.Err() == nil && !p.caller.left() {
		return outcomeNextEndpoint
	}
	if refused == nil {
		if refused = p.refuseLate(); refused != nil {
			p.returnPlace(placed)
		}
	}
	if refused != nil {
		p.refuse(refused)
		return outcomeDone
	}
	return p.send(ctx, placed)
}

// returnPlace releases a place at an endpoint to which nothing was sent.
func (p *proxiedRequest) returnPlace(placed scheduler.Placed) {
	p.gateway.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.Ended(now, placed.ID, scheduler.ResultCancelled) })
}

// refuseLate returns the refusal of a request that has not run and may outlast this host, nil if it may be passed on.
func (p *proxiedRequest) refuseLate() *refusal {
	if p.sends.runs() > 0 || p.gateway.drain.admits(time.Now(), p.deadline) {
		return nil
	}
	return drainingRefusal("it may outlast the shutdown")
}

// acquireEndpoint waits for an endpoint as long as the caller does.
func (p *proxiedRequest) acquireEndpoint(ctx context.Context) (scheduler.Placed, *refusal) {
	waitCtx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(p.caller.Context, stop)()
	if !p.origin.forwarded {
		defer context.AfterFunc(p.gateway.paths.nextLoss(p.service), func() {
			if p.mustForward() {
				stop()
			}
		})()
	}
	decision, err := p.gateway.queue.acquire(waitCtx, p.work())
	if err != nil {
		if p.caller.left() {
			return scheduler.Placed{}, callerLeftRefusal()
		}
		if p.gateway.requests.Err() != nil {
			return scheduler.Placed{}, drainingRefusal("the host ended")
		}
		return scheduler.Placed{}, newRefusal(dotterelpulley.ErrorDeadlinePassed, "the deadline passed in the queue")
	}
	switch decision := decision.(type) {
	case scheduler.Placed:
		return decision, nil
	case scheduler.Refused:
		kind := dotterelpulley.ErrorDeadlineUnreachable
		if decision.Reason == scheduler.ReasonNoEndpoint {
			kind = dotterelpulley.ErrorNoEndpoint
		}
		p.gateway.metrics.Inc("unplaced-" + decision.Obstacles.Main().String())
		refused := newRefusal(kind, fmt.Sprintf("%s, %d waiting, obstacles: %s", decision.Reason, decision.Waiting, decision.Obstacles))
		refused.retryAfter = decision.RetryAfter
		return scheduler.Placed{}, refused
	}
	return scheduler.Placed{}, newRefusal(dotterelpulley.ErrorNoEndpoint, "no decision")
}

// work describes the request to the scheduler, without the endpoints that have failed it.
func (p *proxiedRequest) work() scheduler.Work {
	return scheduler.Work{
		ID:      scheduler.ID(p.gateway.nextWorkID.Add(1)),
		Urgency: scheduler.Urgency{Priority: scheduler.Priority(p.priority), Rank: scheduler.Priority(p.route.Priority)},
		Service: p.service, Route: p.route.ID, ForTarget: p.gateway.promotions.forTarget(time.Now(), p.service, p.route.ID, p.attempts),
		Arrived: p.arrived, Objective: p.route.Objective, MaxEventInterval: p.route.MaxEventInterval, Deadline: p.deadline,
		Size: len(p.body), Prompt: p.PromptTokens, Answer: p.expectedTokens(), ExcludedEndpoints: p.excluded,
		Prefix: scheduler.Prefix{Key: scheduler.PrefixKey(p.SharedPrefix), Tokens: p.SharedTokens},
	}
}

// expectedTokens returns the expected number of tokens of the response.
func (p *proxiedRequest) expectedTokens() dotterelpulley.Tokens {
	if p.EstimatedTokens > 0 && (p.MaxTokens == 0 || p.EstimatedTokens < p.MaxTokens) {
		return p.EstimatedTokens
	}
	return p.MaxTokens
}

// send sends the request to the endpoint and handles its response.
func (p *proxiedRequest) send(ctx context.Context, placed scheduler.Placed) outcome {
	p.events = 0
	a, refused := p.startAttempt(placed)
	if refused != nil {
		p.refuse(refused)
		return outcomeDone
	}
	p.useRepeat()
	if !p.route.Repeatable() || p.origin.forwarded {
		exchange, err := p.dispatch(ctx, a, nil)
		return p.handleExchange(ctx, a, exchange, err)
	}
	watch := answerWatch{proxiedRequest: p, ctx: ctx, attempt: a}
	exchange, err := watch.dispatch()
	if watch.successor == nil {
		return p.handleExchange(ctx, watch.attempt, exchange, err)
	}
	if err == nil {
		exchange.Abort()
	}
	p.endUnreached(watch.attempt, errors.New("no answer, and another host has one"))
	return p.takeOver(ctx, watch.successor)
}

// startAttempt begins an attempt at the endpoint, which finishAttempt ends, unless the request is refused for its prompt's parts.
func (p *proxiedRequest) startAttempt(placed scheduler.Placed) (attempt, *refusal) {
	a := attempt{Placed: placed, attemptID: isolator.NewAttemptID(), startedAt: time.Now()}
	if refused := p.beginRun(a); refused != nil {
		return attempt{}, refused
	}
	if p.attempts > 0 {
		p.logNextTry(a.Endpoint.ID)
	}
	p.attempts++
	a.number = p.attempts
	p.sends.begin()
	p.gateway.promotions.sent(p.service, p.route.ID)
	return a, nil
}

// dispatch sends the request to the attempt's endpoint and waits for the response's headers; it changes nothing of p. onSent, if
// not nil, is called in between.
func (p *proxiedRequest) dispatch(ctx context.Context, a attempt, onSent func()) (*connector.Exchange, error) {
	header := p.header.Clone()
	platform.Dispatch{
		Endpoint: a.Endpoint.ID, Organisation: p.organisation,
		Remaining: time.Until(p.deadline), LastEventID: p.lastEventID,
	}.Apply(header)
	p.gateway.countZoneBytes("requests", a.Endpoint.Zone, len(p.body))
	return p.gateway.connector.Do(ctx, a.Endpoint.Address, connector.Request{
		Method: p.method, Target: p.target, Host: p.host, Header: header, Body: p.body,
		ID: p.AttemptID, MatchesResponse: p.matchesResponse, BeforeSend: p.caller.permitSend,
		OnSent: p.onSent(a, onSent),
	})
}

// matchesResponse reports whether an endpoint's response belongs to the request. One without an id may be a refusal of an earlier
// request that came once more, unless its connection is new.
func (p *proxiedRequest) matchesResponse(head connector.ResponseHead) bool {
	id := platform.DecodeResponseMetadata(head.StatusCode, head.Header).AttemptID
	if id == "" {
		return head.StatusCode >= http.StatusMultipleChoices && !head.Reused
	}
	return id == p.AttemptID
}

// handleExchange relays the response of the attempt's endpoint, or decides how the request continues without one.
func (p *proxiedRequest) handleExchange(ctx context.Context, a attempt, exchange *connector.Exchange, err error) outcome {
	p.noteCarrier(&a, carrierOf(exchange, err))
	if err != nil {
		return p.handleExchangeError(ctx, a, err)
	}
	p.noteArrival(a)
	p.markAnswer(exchange)
	metadata := platform.DecodeResponseMetadata(exchange.StatusCode, exchange.Header)
	p.heedEndpoint(a, metadata)
	return p.handleResponse(ctx, a, exchange, metadata)
}

// heedEndpoint acts on what the endpoint says of itself beside its answer.
func (p *proxiedRequest) heedEndpoint(a attempt, metadata platform.ResponseMetadata) {
	if metadata.Misdirected {
		// Another instance answered at the endpoint's address.
		return
	}
	if metadata.Leaving {
		p.gateway.endpointLeaves(time.Now(), a.Endpoint)
	}
	p.heedLimits(time.Now(), a.Endpoint, metadata)
	if metadata.Pause > 0 {
		p.gateway.metrics.Inc("endpoint-pauses")
		p.gateway.requestEvent(log.InfoLevel, "endpoint-paused", p.request).Str("endpoint", string(a.Endpoint.ID)).Dur("for", metadata.Pause).Msg("")
		p.gateway.queue.access(func(now time.Time, s *scheduler.Scheduler) { s.Pause(now, a.ID, now.Add(metadata.Pause)) })
	}
}

// handleExchangeError decides how the request continues after an exchange without a response.
func (p *proxiedRequest) handleExchangeError(ctx context.Context, a attempt, err error) outcome {
	if p.finishUnsent(a, err) {
		return p.tryNextEndpoint()
	}
	p.noteUnknownArrival(a)
	return p.handleInterruptedRun(ctx, a, err)
}

// finishUnsent finishes the attempt if the request has certainly not reached its endpoint, and reports whether it has not.
func (p *proxiedRequest) finishUnsent(a attempt, err error) bool {
	var failure *connector.ExchangeError
	if !errors.As(err, &failure) || failure.MaybeSent {
		return false
	}
	p.sends.disprove(notConnected{})
	if failure.Withdrawn {
		p.gateway.metrics.Inc("sends-withdrawn")
		p.finishAttempt(a, scheduler.ResultCancelled, err)
		return true
	}
	if a.throughHost() {
		p.finishAttempt(a, scheduler.ResultUnreachable, err)
		return true
	}
	p.gateway.connector.CloseIdle(a.Endpoint.Address)
	if p.gateway.linksLost(p.service, a.Endpoint.Address) {
		p.endUnreached(a, err)
		return true
	}
	result := scheduler.ResultUnreachable
	if failure.ConnectionRefused {
		result = scheduler.ResultDead
	}
	p.finishAttempt(a, result, err)
	return true
}

// handleInterruptedRun decides how the request continues after a run that either side ended early.
func (p *proxiedRequest) handleInterruptedRun(ctx context.Context, a attempt, err error) outcome {
	if ctx.Err() != nil {
		p.finishAttempt(a, scheduler.ResultCancelled, err)
		return outcomeFailed
	}
	return p.handleFailedRun(ctx, a, err)
}

// handleFailedRun decides how the request continues after a run that the endpoint did not complete.
func (p *proxiedRequest) handleFailedRun(ctx context.Context, a attempt, err error) outcome {
	p.finishFailedRun(ctx, a, err)
	return p.runAgain()
}

// runAgain moves on to another endpoint after one that may have run the request, if the request may run again.
func (p *proxiedRequest) runAgain() outcome {
	if !p.route.Repeatable() || !p.canRunAgain() && !p.canReturn() {
		p.notContinued = "the route allows no further endpoint"
		return outcomeFailed
	}
	if !p.mayRepeat() {
		p.notContinued = "a part of the prompt is suspected of crashing endpoints"
		return outcomeFailed
	}
	return p.retry()
}

// finishFailedRun finishes an attempt that the endpoint ran and did not complete, and finds out whether it crashed.
func (p *proxiedRequest) finishFailedRun(ctx context.Context, a attempt, err error) {
	if p.gateway.paths.lost(p.service) && p.gateway.allLinksLost() {
		p.endUnreached(a, err)
		return
	}
	if a.throughHost() || !p.gateway.connector.RefusesConnections(ctx, a.Endpoint.Address) {
		p.finishAttempt(a, scheduler.ResultFailed, err)
		return
	}
	if p.gateway.linksLost(p.service, a.Endpoint.Address) && p.gateway.allLinksLost() {
		p.endUnreached(a, err)
		return
	}
	p.gateway.endpointCrashed(time.Now(), a.Endpoint)
	p.gateway.connector.CloseIdle(a.Endpoint.Address)
	p.finishAttempt(a, scheduler.ResultDead, fmt.Errorf("the endpoint crashed: %w", err))
}

// canRunAgain reports whether the route and the deadline allow a run on one more endpoint.
func (p *proxiedRequest) canRunAgain() bool {
	limit := p.route.MaxAttempts
	if p.origin.forwarded {
		limit = min(limit, forwardedRuns)
	}
	return !p.unresumable && p.sends.runs() < limit && time.Until(p.deadline) > 0 && !p.gateway.without.Repeats
}

// tryNextEndpoint moves on to another endpoint after one that has certainly not run the request.
func (p *proxiedRequest) tryNextEndpoint() outcome {
	if p.attempts >= maxEndpointAttempts {
		p.notContinued = "the endpoints to try are used up"
		return outcomeFailed
	}
	return outcomeNextEndpoint
}

// retry reserves one retry of the budget before it moves on to another endpoint. A forwarded request goes back to the host that has
// its caller, whose budget has counted it.
func (p *proxiedRequest) retry() outcome {
	if p.origin.forwarded {
		p.notContinued = "the host that has its caller decides on repeats"
		return outcomeFailed
	}
	if !p.reserveRepeat() {
		p.gateway.metrics.Inc("repeats-over-budget")
		p.notContinued = "over the retry budget"
		return outcomeFailed
	}
	return p.tryNextEndpoint()
}

// endRun records that an endpoint no longer runs the request.
func (g *Gateway) endRun(a attempt) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range g.isolations {
		g.isolations[i].Ended(startOf(a.Endpoint), a.attemptID)
	}
}

// finishAttempt releases the endpoint's slot and logs an attempt that did not complete.
func (p *proxiedRequest) finishAttempt(a attempt, result scheduler.Result, err error) {
	now := time.Now()
	if !a.throughHost() {
		p.gateway.endRun(a)
	}
	p.gateway.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.Ended(now, a.ID, result) })
	if result != scheduler.ResultCompleted {
		p.excluded[a.Endpoint.ID] = true
		err = abbreviator.Error(err)
		p.lastError = err
		p.gateway.metrics.Inc("tries-" + resultNames[result])
		logCarrier(p.gateway.requestEvent(log.WarnLevel, "try-ended", p.request), a.carrier).Str("endpoint", string(a.Endpoint.ID)).
			Str("result", resultNames[result]).Int("load", a.Load).Dur("load-age", a.LoadAge).
			Dur("took", now.Sub(a.startedAt)).Int("try", p.attempts).Int("events", p.events).Str("parts", partNames(p.suspects[promptParts])).Err(err).Msg("")
	}
}

// logNextTry logs to which endpoint the request goes after others, and why the last one before it is not the only one.
func (p *proxiedRequest) logNextTry(id dotterelpulley.EndpointID) {
	p.gateway.requestEvent(log.WarnLevel, "next-try", p.request).Str("endpoint", string(id)).Int("try", p.attempts+1).
		Int("runs", p.sends.runs()).Str("reached", p.arrivals.encode()).Err(p.lastError).Msg("")
}

var resultNames = map[scheduler.Result]string{
	scheduler.ResultCompleted: "whole", scheduler.ResultRefused: "refused", scheduler.ResultFailed: "failed",
	scheduler.ResultUnreachable: "unreached", scheduler.ResultDead: "dead", scheduler.ResultWrongInstance: "moved", scheduler.ResultCancelled: "left",
}

// refuse refuses the request, or fails it if an endpoint may have run it.
func (p *proxiedRequest) refuse(refused *refusal) {
	refused.proof = p.sends.notRun()
	if refused.proof == nil {
		p.notContinued = refused.kind.String() + ": " + refused.reason
		p.fail(context.Background())
		return
	}
	p.gateway.refundUsage(p.request)
	if refused.kind == dotterelpulley.ErrorDeadlinePassed {
		refused.status = http.StatusServiceUnavailable
	}
	p.gateway.writeRefusal(p.response.writer, p.request, refused)
}

// cutReason returns why a stream ended before its last event.
func cutReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed in the stream"
	case ctx.Err() != nil:
		return "the caller left or the host ended"
	}
	return "the endpoint's stream ended early"
}

// fail ends a request whose outcome is unknown or that no endpoint accepted.
func (p *proxiedRequest) fail(ctx context.Context) {
	switch {
	case p.response.headersSent:
		p.gateway.metrics.Inc("answers-cut")
		p.gateway.requestEvent(log.WarnLevel, "cut", p.request).Str("why", cutReason(ctx)).Int("events", p.events).
			Str("not-continued", p.notContinued).Err(p.lastError).Msg("")
		panic(http.ErrAbortHandler)
	case p.sends.notRun() != nil:
		refused := p.helperRefusal
		if refused == nil {
			refused = newRefusal(dotterelpulley.ErrorNoEndpoint, fmt.Sprintf("%d endpoints did not take it", p.attempts))
		}
		p.refuse(refused)
	case p.gateway.requests.Err() != nil:
		p.gateway.writeRefusal(p.response.writer, p.request, newRefusal(dotterelpulley.ErrorOutcomeUnknown, "the host ended"))
	case errors.Is(ctx.Err(), context.Canceled):
		p.gateway.writeRefusal(p.response.writer, p.request, newRefusal(dotterelpulley.ErrorCancelled, "the caller left"))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refused := newRefusal(dotterelpulley.ErrorDeadlinePassed, "no answer by the deadline")
		p.gateway.writeRefusal(p.response.writer, p.request, refused)
	default:
		p.gateway.writeRefusal(p.response.writer, p.request, newRefusal(dotterelpulley.ErrorOutcomeUnknown, "the endpoint gave no whole answer"))
	}
}
