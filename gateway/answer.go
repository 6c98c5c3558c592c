package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// maxBufferedResponse limits the plain responses that are read completely before any of them is sent to the caller.
	maxBufferedResponse = 512 << 10
	// maxDrainedBytes and drainTimeout limit the reading of a response that nobody gets, while its caller waits.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 100 * time.Millisecond
	eventStreamType = "text/event-stream"
)

// responseWriter writes the response to the caller.
type responseWriter struct {
	writer      http.ResponseWriter
	controller  *http.ResponseController
	headersSent bool
	// writeFailed is true if the caller took no more of its answer.
	writeFailed bool
	// onWrite gets the number of bytes of each part of the body; nil if nobody counts them.
	onWrite func(n int)
}

// Write writes a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	n, err := w.writer.Write(b)
	if w.onWrite != nil {
		w.onWrite(n)
	}
	w.writeFailed = w.writeFailed || err != nil
	return n, err
}

// sendHeaders sends the endpoint's status and headers.
func (w *responseWriter) sendHeaders(exchange *connector.Exchange) {
	for name, values := range platform.ForwardedResponseHeaders(exchange.Header) {
		w.writer.Header()[name] = values
	}
	w.writer.WriteHeader(exchange.StatusCode)
	w.headersSent = true
}

// handleResponse relays a valid response to the caller, or decides how the request continues without it.
func (p *proxiedRequest) handleResponse(ctx context.Context, a attempt, exchange *connector.Exchange, metadata platform.ResponseMetadata) outcome {
	p.response.onWrite = func(n int) { p.gateway.countZoneBytes("answers", a.Endpoint.Zone, n) }
	success := isSuccess(exchange.StatusCode)
	proof := p.endpointProof(exchange, metadata)
	switch {
	case proof != nil && !a.throughHost():
		p.sends.disprove(proof)
		p.drainBody(exchange)
		p.finishAttempt(a, refusalResult(exchange.StatusCode), fmt.Errorf("the endpoint did not run the request: %s", proofName(proof)))
		return p.retry()
	case metadata.Encoded || success && !metadata.Signed:
		exchange.Abort()
		return p.handleFailedRun(ctx, a, errors.New("the response is encoded or not signed by the endpoint"))
	case success && p.route.Kind == router.Streaming && isEventStream(exchange.Header):
		return p.relayEvents(ctx, a, exchange)
	case p.response.headersSent:
		// The caller has received part of a stream, which only further events of the stream can complete.
		exchange.Abort()
		return p.handleFailedRun(ctx, a, fmt.Errorf("the endpoint did not resume the stream: status %d", exchange.StatusCode))
	case platform.PromisesNotRun(exchange.StatusCode):
		// The caller would take the endpoint's status for a promise that nothing ran.
		p.drainBody(exchange)
		p.gateway.metrics.Inc("promises-unproved")
		p.finishAttempt(a, scheduler.ResultFailed, fmt.Errorf("status %d without a proof that the endpoint did not run the request, id echoed: %t",
			exchange.StatusCode, metadata.AttemptID != ""))
		return p.runAgain()
	default:
		return p.relayBuffered(ctx, a, exchange)
	}
}

// refusalResult returns the result of an attempt that an endpoint refused with the status.
func refusalResult(status int) scheduler.Result {
	if status == http.StatusMisdirectedRequest {
		return scheduler.ResultWrongInstance
	}
	return scheduler.ResultRefused
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == eventStreamType
}

// drainBody reads the rest of a small response so that its connection can be reused, unless it takes longer than a new one.
func (p *proxiedRequest) drainBody(exchange *connector.Exchange) {
	if err := exchange.SetReadTimeout(drainTimeout); err != nil {
		p.gateway.metrics.Inc("silence-limits-unset")
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(exchange.Body, maxDrainedBytes)); err != nil || n == maxDrainedBytes {
		exchange.Abort()
		return
	}
	exchange.Release()
}

// relayBuffered relays a plain response, buffered completely unless it is large.
func (p *proxiedRequest) relayBuffered(ctx context.Context, a attempt, exchange *connector.Exchange) outcome {
	failed := exchange.StatusCode >= http.StatusInternalServerError
	if failed && p.route.Repeatable() && p.canRunAgain() {
		if next := p.retry(); next == outcomeNextEndpoint {
			p.drainBody(exchange)
			p.finishAttempt(a, scheduler.ResultFailed, fmt.Errorf("status %d", exchange.StatusCode))
			return next
		}
	}
	body := buffer{account: p.account, budget: &p.gateway.answers}
	defer body.release()
	whole, err := body.readFrom(exchange.Body, maxBufferedResponse)
	if err != nil {
		exchange.Abort()
		return p.handleInterruptedRun(ctx, a, err)
	}
	if isSuccess(exchange.StatusCode) {
		p.noteAnswered(a)
	}
	if !whole {
		return p.relayRemainder(ctx, a, exchange, &body)
	}
	exchange.Release()
	if !failed && p.route.Kind != router.Streaming {
		p.gateway.queue.access(func(now time.Time, s *scheduler.Scheduler) { s.ObserveInterval(now, a.ID, now.Sub(a.startedAt)) })
	}
	p.finishWholeRun(a, exchange)
	p.writeResponse(exchange, body.data)
	p.logAnswered(a, exchange.StatusCode, 0, time.Time{})
	return outcomeDone
}

// finishWholeRun finishes an attempt that ended with a whole response, which may state a failure.
func (p *proxiedRequest) finishWholeRun(a attempt, exchange *connector.Exchange) {
	if exchange.StatusCode >= http.StatusInternalServerError {
		p.finishAttempt(a, scheduler.ResultFailed, fmt.Errorf("status %d", exchange.StatusCode))
		return
	}
	p.finishAttempt(a, scheduler.ResultCompleted, nil)
}

// writeResponse sends the caller a response that has been read completely.
func (p *proxiedRequest) writeResponse(exchange *connector.Exchange, body []byte) {
	p.response.sendHeaders(exchange)
	if _, err := p.response.Write(body); err != nil {
		p.gateway.metrics.Inc("answers-unsent")
	}
}

// relayRemainder relays a large response whose beginning has been buffered.
func (p *proxiedRequest) relayRemainder(ctx context.Context, a attempt, exchange *connector.Exchange, head *buffer) outcome {
	p.writeResponse(exchange, head.data)
	head.release()
	if _, err := io.Copy(p.response, exchange.Body); err != nil {
		exchange.Abort()
		result := scheduler.ResultFailed
		if p.response.writeFailed || errors.Is(ctx.Err(), context.Canceled) {
			result = scheduler.ResultCancelled
		}
		p.finishAttempt(a, result, err)
		return outcomeFailed
	}
	exchange.Release()
	p.finishWholeRun(a, exchange)
	p.logAnswered(a, exchange.StatusCode, 0, time.Time{})
	return outcomeDone
}

// relayEvents relays complete events as they arrive; a broken stream is resumed on another endpoint if the route allows it.
func (p *proxiedRequest) relayEvents(ctx context.Context, a attempt, exchange *connector.Exchange) outcome {
	reader := newEventReader(buffer{account: p.account, budget: &p.gateway.answers}, exchange.Body)
	defer reader.release()
	// A stream that can't go on elsewhere needs no whole events.
	reader.inParts = !p.route.Resumable || !p.canRunAgain() && !p.canReturn()
	p.outlastSilence(ctx, a, exchange)
	var timing eventTiming
	watch := silenceWatch{proxiedRequest: p, ctx: ctx, attempt: a, exchange: exchange}
	defer watch.Close()
	for progress := true; ; {
		if progress {
			watch.expectEvent(timing.events == 0)
		}
		event, err := reader.next()
		if errors.Is(err, io.EOF) && len(event.data) == 0 {
			break
		}
		if err != nil {
			exchange.Abort()
			if !watch.hasSuccessor() {
				return p.handleInterruptedRun(ctx, a, err)
			}
			// The end of this attempt must not wait for the successor's answer.
			next := watch.takeSuccessor()
			p.finishReplaced(ctx, a, next, err)
			return p.takeOver(ctx, next)
		}
		// An endpoint that keeps the connection alive by comments alone has stalled like a silent one.
		if progress = !event.comment; !progress {
			p.relayComment(exchange, event)
			continue
		}
		watch.eventArrived()
		if !event.continued {
			timing.observe(p, a, time.Now())
			if p.events = timing.events; p.events == 2 {
				p.noteAnswered(a)
			}
		}
		if !p.writeEvent(exchange, event) {
			exchange.Abort()
			p.finishAttempt(a, scheduler.ResultCancelled, errors.New("the caller accepts no more events"))
			panic(http.ErrAbortHandler)
		}
	}
	if timing.events == 0 && exchange.EndsWithConnection() {
		exchange.Abort()
		return p.handleInterruptedRun(ctx, a, errors.New("the connection ended before the stream's first event"))
	}
	if timing.events == 0 {
		p.response.sendHeaders(exchange)
	}
	watch.Close()
	if timing.events > 0 {
		p.noteAnswered(a)
	}
	exchange.Release()
	p.finishAttempt(a, scheduler.ResultCompleted, nil)
	p.logAnswered(a, exchange.StatusCode, timing.longestPause, timing.firstAt)
	return outcomeDone
}

// outlastSilence keeps keep-alive probes from ending a stream before its deadline. Those to another host stay, as nothing else shows that
// it is gone.
func (p *proxiedRequest) outlastSilence(ctx context.Context, a attempt, exchange *connector.Exchange) {
	if a.throughHost() {
		return
	}
	if err := exchange.OutlastSilence(time.Until(p.deadline)); err != nil && ctx.Err() == nil {
		p.gateway.metrics.Inc("silence-limits-unset")
	}
}

// finishReplaced finishes the attempt of a stream that goes on with a successor, after its read has ended with the error.
func (p *proxiedRequest) finishReplaced(ctx context.Context, a attempt, next *successor, err error) {
	silent := errors.Is(err, os.ErrDeadlineExceeded)
	if silent {
		p.gateway.metrics.Inc("silences-handed-over")
		p.silentEndpoint.giveUp(a.Endpoint.ID)
	}
	switch {
	case silent && next.attempt.throughHost():
		p.endUnreached(a, errors.New("silent, and another host goes on"))
	case silent:
		p.finishAttempt(a, scheduler.ResultFailed, errors.New("silent, and another endpoint goes on"))
	default:
		p.finishFailedRun(ctx, a, err)
	}
}

// relayComment passes on a comment within a stream that has begun; before the first event it would commit this host to the
// endpoint's answer.
func (p *proxiedRequest) relayComment(exchange *connector.Exchange, e sseEvent) {
	if p.response.headersSent && !p.writeEvent(exchange, e) {
		p.gateway.metrics.Inc("answers-unsent")
	}
}

// writeEvent sends one event to the caller, preceded by the headers if it is the first.
func (p *proxiedRequest) writeEvent(exchange *connector.Exchange, e sseEvent) bool {
	if !p.response.headersSent {
		p.response.sendHeaders(exchange)
	}
	if e.id != "" {
		p.lastEventID = e.id
	}
	// To go on after an earlier event would send the later ones twice.
	p.unresumable = e.idTooLong || p.unresumable && e.id == ""
	if _, err := p.response.writer.Write(e.data); err != nil {
		return false
	}
	return p.response.controller.Flush() == nil
}

// logAnswered logs a request that was answered.
func (p *proxiedRequest) logAnswered(a attempt, status int, longestPause time.Duration, firstEventAt time.Time) {
	p.gateway.metrics.Inc("answered")
	p.gateway.metrics.recordLatency("answer-"+string(p.route.ID), time.Since(p.arrived))
	e := logCarrier(p.gateway.requestEvent(log.InfoLevel, "answered", p.request), a.carrier).Int("status", status).Str("endpoint", string(a.Endpoint.ID)).
		Int("try", p.attempts).Int("load", a.Load).Dur("load-age", a.LoadAge).Dur("queued", a.startedAt.Sub(p.arrived)).
		Int("priority", int(p.priority)).Int("rank", int(p.route.Priority))
	if !firstEventAt.IsZero() {
		e = e.Dur("first-event", firstEventAt.Sub(p.arrived)).Dur("longest-pause", longestPause)
	}
	e.Msg("")
}
