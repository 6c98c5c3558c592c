package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// heldAnswer is the largest plain answer that is read whole before the caller gets any of it.
	heldAnswer = 512 << 10
	// eventsType is the media type of server-sent events.
	eventsType = "text/event-stream"
	// firstSilence and laterSilence are how long a stream that may go on elsewhere says nothing before it does.
	firstSilence = 1500 * time.Millisecond
	laterSilence = 1200 * time.Millisecond
)

// output is the answer to the caller.
type output struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

// begin sends the endpoint's status and headers.
func (o *output) begin(x *connector.Exchange) {
	for name, values := range platform.ForwardedResponseHeaders(x.Header) {
		o.writer.Header()[name] = values
	}
	o.writer.WriteHeader(x.StatusCode)
	o.begun = true
}

// answered decides what follows an answer, and passes it on if it is the request's.
func (l *life) answered(ctx context.Context, t try, x *connector.Exchange) outcome {
	reply := platform.DecodeResponseMetadata(x.StatusCode, x.Header)
	success := x.StatusCode >= http.StatusOK && x.StatusCode < http.StatusMultipleChoices
	switch {
	case reply.NotExecuted:
		l.discard(x)
		result := scheduler.ResultRefused
		if x.StatusCode == http.StatusMisdirectedRequest {
			result = scheduler.ResultWrongInstance
		}
		l.end(t, result, fmt.Errorf("not run, status %d", x.StatusCode))
		return l.again()
	case reply.Encoded || success && !reply.Signed:
		x.Abort()
		l.ran++
		return l.broken(ctx, t, errors.New("the answer isn't the endpoint's own"))
	case success && l.route.Kind == router.Streaming && isEvents(x.Header):
		return l.relayEvents(ctx, t, x)
	case l.out.begun:
		// The caller has a part of a stream, which only more of its events can complete.
		x.Abort()
		l.ran++
		return l.broken(ctx, t, fmt.Errorf("the stream was to go on, status %d", x.StatusCode))
	default:
		return l.relayWhole(ctx, t, x, success)
	}
}

func isEvents(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == eventsType
}

// discard reads the rest of a small answer, so that its connection can be kept.
func (l *life) discard(x *connector.Exchange) {
	if n, err := io.Copy(io.Discard, io.LimitReader(x.Body, heldAnswer)); err != nil || n == heldAnswer {
		x.Abort()
		return
	}
	x.Release()
}

// relayWhole passes a plain answer on, whole before the caller gets any of it unless it is large.
func (l *life) relayWhole(ctx context.Context, t try, x *connector.Exchange, success bool) outcome {
	l.ran++
	body, err := io.ReadAll(io.LimitReader(x.Body, heldAnswer))
	if err != nil {
		x.Abort()
		return l.interrupted(ctx, t, err)
	}
	if !success && x.StatusCode >= http.StatusInternalServerError && l.route.Repeatable() && l.mayRunAgain() {
		x.Release()
		l.end(t, scheduler.ResultFailed, fmt.Errorf("status %d", x.StatusCode))
		if next := l.again(); next == outcomeElsewhere {
			return next
		}
		l.deliver(x, body)
		return outcomeDone
	}
	if len(body) == heldAnswer {
		return l.relayLarge(t, x, body)
	}
	x.Release()
	result := scheduler.ResultCompleted
	if x.StatusCode >= http.StatusInternalServerError {
		result = scheduler.ResultFailed
	} else if l.route.Kind != router.Streaming {
		l.g.queue.note(func(now time.Time, s *scheduler.Scheduler) { s.ObserveInterval(now, t.ID, now.Sub(t.began)) })
	}
	l.end(t, result, nil)
	l.deliver(x, body)
	l.done(t, x.StatusCode, 0, time.Time{})
	return outcomeDone
}

// deliver gives the caller an answer that is there in full.
func (l *life) deliver(x *connector.Exchange, body []byte) {
	l.out.begin(x)
	if _, err := l.out.writer.Write(body); err != nil {
		l.g.metrics.Inc("answers-unsent")
	}
}

// relayLarge passes on the rest of an answer whose beginning was held.
func (l *life) relayLarge(t try, x *connector.Exchange, head []byte) outcome {
	l.deliver(x, head)
	if _, err := io.Copy(l.out.writer, x.Body); err != nil {
		x.Abort()
		l.end(t, scheduler.ResultFailed, err)
		return outcomeFailed
	}
	x.Release()
	l.end(t, scheduler.ResultCompleted, nil)
	l.done(t, x.StatusCode, 0, time.Time{})
	return outcomeDone
}

// relayEvents passes whole events on as they arrive; a stream that breaks goes on elsewhere where the route allows it.
func (l *life) relayEvents(ctx context.Context, t try, x *connector.Exchange) outcome {
	l.ran++
	reader := bufio.NewReader(x.Body)
	var first, last time.Time
	events := 0
	longest := time.Duration(0)
	for {
		if l.route.Resumable && l.mayRunAgain() {
			silence := laterSilence
			if events == 0 {
				silence = firstSilence
			}
			if err := x.SetReadTimeout(silence); err != nil {
				l.g.metrics.Inc("silence-limits-unset")
			}
		}
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event.data) == 0 {
			break
		}
		if err != nil {
			x.Abort()
			return l.interrupted(ctx, t, err)
		}
		now := time.Now()
		if events == 0 {
			first = now
			l.g.queue.note(func(now time.Time, s *scheduler.Scheduler) { s.ObserveFirstEvent(now, t.ID) })
			l.g.metrics.observe("first-event-"+string(l.route.ID), now.Sub(l.arrived))
		} else {
			gap := now.Sub(last)
			longest = max(longest, gap)
			l.g.queue.note(func(now time.Time, s *scheduler.Scheduler) { s.ObserveInterval(now, t.ID, gap) })
		}
		last = now
		events++
		if !l.pass(x, event) {
			x.Abort()
			l.end(t, scheduler.ResultCancelled, errors.New("the caller takes no more"))
			panic(http.ErrAbortHandler)
		}
	}
	if events == 0 {
		l.out.begin(x)
	}
	x.Release()
	l.end(t, scheduler.ResultCompleted, nil)
	l.done(t, x.StatusCode, longest, first)
	return outcomeDone
}

// pass gives the caller one event, the headers before the first.
func (l *life) pass(x *connector.Exchange, e event) bool {
	if !l.out.begun {
		l.out.begin(x)
	}
	if e.id != "" {
		l.lastEvent = e.id
	}
	if _, err := l.out.writer.Write(e.data); err != nil {
		return false
	}
	return l.out.control.Flush() == nil
}

// done writes the line of a request that was answered.
func (l *life) done(t try, status int, longest time.Duration, first time.Time) {
	l.g.metrics.Inc("answered")
	l.g.metrics.observe("answer-"+string(l.route.ID), time.Since(l.arrived))
	e := l.g.decided(log.InfoLevel, "answered", l.request).Int("status", status).Str("endpoint", string(t.Endpoint.ID)).
		Int("try", l.tries).Int("load", t.Load).Dur("load-age", t.LoadAge).Dur("queued", t.began.Sub(l.arrived)).
		Int("priority", int(l.priority)).Int("rank", int(l.route.Priority))
	if !first.IsZero() {
		e = e.Dur("first-event", first.Sub(l.arrived)).Dur("longest-pause", longest)
	}
	e.Msg("")
}
