package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// firstEventTimeout and nextEventTimeout are how long a resumable stream may send no event before another endpoint is
	// asked to go on with it.
	firstEventTimeout = 1500 * time.Millisecond
	nextEventTimeout  = 1200 * time.Millisecond
	// successorRetryInterval is the time between two searches for another endpoint while the stream is silent.
	successorRetryInterval = 300 * time.Millisecond
	// refusalTime is how long an endpoint that was asked to go on with a stream may take to refuse it. After that it counts as at work,
	// and the silent one must stop, as no two endpoints may work on one request for long.
	refusalTime = 200 * time.Millisecond
	// expireNow is a time limit that ends a read at once.
	expireNow = time.Nanosecond
)

// silenceWatch asks another endpoint to go on with a stream whose endpoint is silent. Silence alone doesn't end the stream:
// its endpoint is given up only when the other one has got the request and hasn't refused it, and it goes on if it sends an event
// before that.
type silenceWatch struct {
	*proxiedRequest
	ctx      context.Context
	attempt  attempt
	exchange *connector.Exchange
	// successor is the attempt that is to go on with the stream; nil if there is none.
	successor *successor
	// silent reports whether the endpoint has sent no event within the time limit.
	silent bool
}

// successor is an attempt to go on with a stream at another endpoint.
type successor struct {
	attempt attempt
	cancel  context.CancelFunc
	// cancelled reports whether this host ended the attempt before its answer.
	cancelled bool
	// sent is closed when the request is on its way, done when exchange and err are set.
	sent chan struct{}
	done chan struct{}
	// atWork is set when the endpoint has had the request for long enough to refuse it.
	atWork atomic.Bool
	// goroutines end soon after the attempt's context or its answer.
	goroutines conc.WaitGroup
	exchange   *connector.Exchange
	err        error
}

// expectEvent sets the time limit of the next event.
func (w *silenceWatch) expectEvent(first bool) {
	if !w.route.Resumable || !w.canRunAgain() || w.gateway.without.Successors {
		return
	}
	w.exchange.OnReadTimeout(w.onSilence)
	if first {
		w.setLimit(firstEventTimeout)
	} else {
		w.setLimit(nextEventTimeout)
	}
}

func (w *silenceWatch) setLimit(limit time.Duration) {
	// The endpoint's connection may have ended meanwhile.
	if err := w.exchange.SetReadTimeout(limit); err != nil && w.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		w.gateway.metrics.Inc("silence-limits-unset")
	}
}

// onSilence starts a successor, or looks at the answer of the one started before. It reports whether to wait further for the
// silent endpoint.
func (w *silenceWatch) onSilence() bool {
	if w.successor != nil {
		if w.successor.takesOver() {
			return false
		}
		w.finishSuccessor()
	}
	if !w.canRunAgain() || w.attempts >= maxEndpointAttempts {
		w.setLimit(0)
		return true
	}
	if !w.silent {
		w.silent = true
		w.gateway.metrics.Inc("silences")
	}
	if !w.origin.forwarded && w.gateway.paths.lost(w.service) && w.gateway.connector.Silence(time.Now()) >= linkSilence {
		// Nothing comes through any more; another host can go on.
		return false
	}
	placed, ok := w.acquireSuccessor()
	if !ok {
		w.setLimit(successorRetryInterval)
		return true
	}
	w.setLimit(0)
	w.start(placed)
	return true
}

// acquireSuccessor takes a retry from the budget and a slot at another endpoint, or neither.
func (w *silenceWatch) acquireSuccessor() (scheduler.Placed, bool) {
	g := w.gateway
	if g.paths.lost(w.service) {
		return scheduler.Placed{}, false
	}
	if !w.reserveRepeat() {
		g.metrics.Inc("repeats-over-budget")
		return scheduler.Placed{}, false
	}
	w.excluded[w.attempt.Endpoint.ID] = true
	placed, ok := g.queue.tryAcquire(w.work())
	if !ok {
		w.returnRepeat()
		return scheduler.Placed{}, false
	}
	w.useRepeat()
	return placed, true
}

// start sends the rest of the stream's request to another endpoint, which ends the read of the silent one once it takes over.
func (w *silenceWatch) start(placed scheduler.Placed) {
	a, refused := w.startAttempt(placed)
	if refused != nil {
		// A part of the prompt was isolated meanwhile, so that no other endpoint may get the request.
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	s := &successor{attempt: a, cancel: cancel, sent: make(chan struct{}), done: make(chan struct{})}
	w.successor = s
	s.goroutines.Go(func() {
		defer close(s.done)
		s.exchange, s.err = w.dispatch(ctx, s.attempt, func() { close(s.sent) })
		if s.goesOn() {
			s.awaitEvent()
		}
	})
	s.goroutines.Go(func() {
		s.awaitWork()
		w.setLimit(expireNow)
	})
}

// awaitWork waits until the endpoint has answered or counts as at work.
func (s *successor) awaitWork() {
	select {
	case <-s.sent:
	case <-s.done:
		return
	}
	limit := time.NewTimer(refusalTime)
	defer limit.Stop()
	select {
	case <-limit.C:
		s.atWork.Store(true)
	case <-s.done:
	}
}

// takesOver reports whether the endpoint goes on with the stream or is at work on it, after awaitWork.
func (s *successor) takesOver() bool {
	select {
	case <-s.done:
		return s.goesOn()
	default:
	}
	if s.atWork.Load() {
		return true
	}
	<-s.done
	return s.goesOn()
}

// awaitEvent waits until the answer's body has begun, as an endpoint may send its headers long before.
func (s *successor) awaitEvent() {
	body := peekedBody{Reader: bufio.NewReader(s.exchange.Body), Closer: s.exchange.Body}
	if _, err := body.Peek(1); err != nil && !errors.Is(err, io.EOF) {
		s.exchange.Abort()
		s.err = err
		return
	}
	s.exchange.Body = body
}

// peekedBody is a body whose beginning may have been buffered.
type peekedBody struct {
	*bufio.Reader
	io.Closer
}

// goesOn reports whether the endpoint answers with events; its answer must have come.
func (s *successor) goesOn() bool {
	if s.err != nil {
		return false
	}
	metadata := platform.DecodeResponseMetadata(s.exchange.StatusCode, s.exchange.Header)
	return isSuccess(s.exchange.StatusCode) && metadata.Signed && !metadata.Encoded && isEventStream(s.exchange.Header)
}

// eventArrived ends the successor, as the endpoint is not silent any more.
func (w *silenceWatch) eventArrived() {
	if w.silent {
		w.silent = false
		w.gateway.metrics.Inc("silences-ended")
	}
	w.Close()
}

// Close ends a successor whose answer hasn't been taken and waits for it.
func (w *silenceWatch) Close() {
	if w.successor == nil {
		return
	}
	w.successor.cancelled = true
	w.successor.cancel()
	w.successor.goroutines.Wait()
	w.finishSuccessor()
}

// hasSuccessor reports whether the stream may go on with a successor's answer, which may not have come yet.
func (w *silenceWatch) hasSuccessor() bool {
	return w.successor != nil && w.ctx.Err() == nil
}

// takeSuccessor waits for the successor's answer and hands it over.
func (w *silenceWatch) takeSuccessor() *successor {
	s := w.successor
	s.goroutines.Wait()
	w.successor = nil
	return s
}

// finishSuccessor finishes the attempt of a successor whose answer isn't used; the answer must have come.
func (w *silenceWatch) finishSuccessor() {
	s := w.successor
	w.successor = nil
	defer s.cancel()
	w.noteCarrier(&s.attempt, carrierOf(s.exchange, s.err))
	if s.err != nil {
		w.finishUnanswered(s)
		return
	}
	w.noteArrival(s.attempt)
	s.exchange.Abort()
	metadata := platform.DecodeResponseMetadata(s.exchange.StatusCode, s.exchange.Header)
	w.heedEndpoint(s.attempt, metadata)
	result := scheduler.ResultFailed
	proof := w.endpointProof(s.exchange, metadata)
	switch {
	case proof != nil:
		w.sends.disprove(proof)
		result = refusalResult(s.exchange.StatusCode)
	case s.goesOn():
		result = scheduler.ResultCancelled
	}
	w.finishAttempt(s.attempt, result, fmt.Errorf("the stream went on at the silent endpoint: status %d", s.exchange.StatusCode))
}

// finishUnanswered finishes the attempt of a successor whose endpoint gave no answer.
func (w *silenceWatch) finishUnanswered(s *successor) {
	var failure *connector.ExchangeError
	unsent := errors.As(s.err, &failure) && !failure.MaybeSent
	if !unsent {
		w.noteArrival(s.attempt)
	}
	if s.cancelled || w.ctx.Err() != nil {
		if unsent {
			w.sends.disprove(notConnected{})
		}
		w.finishAttempt(s.attempt, scheduler.ResultCancelled, s.err)
		return
	}
	if !w.finishUnsent(s.attempt, s.err) {
		w.finishFailedRun(w.ctx, s.attempt, s.err)
	}
}
