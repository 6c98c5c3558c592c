package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// successor is an attempt that may replace the one under way, at another endpoint or through another host. An attempt whose endpoint
// may still answer is given up only for a successor, which has its retry, its place and its way to an endpoint by then.
type successor struct {
	attempt attempt
	cancel  context.CancelFunc
	// stream means that only events can replace the attempt under way.
	stream bool
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

// startSuccessor runs the attempt's exchange beside the one under way.
func (p *proxiedRequest) startSuccessor(ctx context.Context, a attempt, exchange func(ctx context.Context, onSent func()) (*connector.Exchange, error)) *successor {
	ctx, cancel := context.WithCancel(ctx)
	s := &successor{attempt: a, cancel: cancel, stream: p.route.Kind == router.Streaming, sent: make(chan struct{}), done: make(chan struct{})}
	s.goroutines.Go(func() {
		defer close(s.done)
		s.exchange, s.err = exchange(ctx, func() { close(s.sent) })
		if s.goesOn() {
			s.awaitBody()
		}
	})
	return s
}

// startThroughHelper sends the request of an attempt that is under way on lost links through another host as well. It returns nil
// if the retry budget or the other hosts don't allow it.
func (p *proxiedRequest) startThroughHelper(ctx context.Context, underWay attempt) *successor {
	if !p.reserveRepeat() {
		p.gateway.metrics.Inc("repeats-over-budget")
		return nil
	}
	helper, ok := p.chooseHelper()
	if !ok {
		p.returnRepeat()
		return nil
	}
	// The endpoint is sound as far as this host knows, and the other one may reach it.
	told := p.arrivals.without(underWay.Endpoint.ID)
	a := p.startForward(helper)
	return p.startSuccessor(ctx, a, func(ctx context.Context, onSent func()) (*connector.Exchange, error) {
		return p.dispatchThrough(ctx, a, told, onSent)
	})
}

// awaitWork waits until the attempt has an answer, or its endpoint counts as at work. Another host doesn't tell when its endpoint has the
// request.
func (s *successor) awaitWork() {
	if s.attempt.throughHost() {
		<-s.done
		return
	}
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

// awaitBody waits until the answer's body has begun, as an endpoint may send its headers long before.
func (s *successor) awaitBody() {
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

// goesOn reports whether the endpoint answers with success, and a stream with events; its answer must have come.
func (s *successor) goesOn() bool {
	if s.err != nil {
		return false
	}
	metadata := platform.DecodeResponseMetadata(s.exchange.StatusCode, s.exchange.Header)
	return isSuccess(s.exchange.StatusCode) && metadata.Signed && !metadata.Encoded && (!s.stream || isEventStream(s.exchange.Header))
}

// takeOver goes on with the successor's answer, for which it waits; the attempt before it must have been finished.
func (p *proxiedRequest) takeOver(ctx context.Context, s *successor) outcome {
	s.goroutines.Wait()
	if !s.attempt.throughHost() {
		return p.handleExchange(ctx, s.attempt, s.exchange, s.err)
	}
	defer p.gateway.paths.done(s.attempt.helper.ID)
	return p.handleHelperExchange(ctx, s.attempt, s.exchange, s.err)
}

// finishSuccessor finishes the attempt of a successor whose answer isn't used; the answer must have come.
func (p *proxiedRequest) finishSuccessor(ctx context.Context, s *successor) {
	defer s.cancel()
	if s.attempt.throughHost() {
		defer p.gateway.paths.done(s.attempt.helper.ID)
	}
	p.noteCarrier(&s.attempt, carrierOf(s.exchange, s.err))
	if s.err != nil {
		p.finishUnanswered(ctx, s)
		return
	}
	s.exchange.Abort()
	result := scheduler.ResultFailed
	proof := p.noteUnused(s)
	switch {
	case proof != nil:
		p.sends.disprove(proof)
		result = refusalResult(s.exchange.StatusCode)
	case s.goesOn():
		result = scheduler.ResultCancelled
	}
	p.finishAttempt(s.attempt, result, fmt.Errorf("the request went on at the endpoint before: status %d", s.exchange.StatusCode))
}

// noteUnused records what the answer of a successor tells of the endpoint and of the request, and returns what proves that the request
// hasn't run; nil if it may have.
func (p *proxiedRequest) noteUnused(s *successor) proof {
	if s.attempt.throughHost() {
		return p.noteUnusedHelper(s)
	}
	p.noteArrival(s.attempt)
	metadata := platform.DecodeResponseMetadata(s.exchange.StatusCode, s.exchange.Header)
	p.heedEndpoint(s.attempt, metadata)
	return p.endpointProof(s.exchange, metadata)
}

// noteUnusedHelper does the same for the answer of another host. One that refuses may have room later, and is tried again.
func (p *proxiedRequest) noteUnusedHelper(s *successor) proof {
	arrived := p.noteHelperArrivals(s.attempt, s.exchange)
	name := s.exchange.Header.Get(headerRefusal)
	if name == "" {
		return nil
	}
	proven := hostProof(dotterelpulley.ParseErrorKind(name), s.exchange.Header, arrived)
	if proven != nil {
		delete(p.excludedHelpers, s.attempt.helper.ID)
	}
	return proven
}

// finishUnanswered finishes the attempt of a successor that got no answer.
func (p *proxiedRequest) finishUnanswered(ctx context.Context, s *successor) {
	var failure *connector.ExchangeError
	unsent := errors.As(s.err, &failure) && !failure.MaybeSent
	if !unsent {
		p.noteUnknownArrival(s.attempt)
	}
	if s.cancelled || ctx.Err() != nil {
		if unsent {
			p.sends.disprove(notConnected{})
		}
		p.finishAttempt(s.attempt, scheduler.ResultCancelled, s.err)
		return
	}
	if s.attempt.throughHost() {
		p.excludeHelper(s.attempt.helper.ID)
	}
	if !p.finishUnsent(s.attempt, s.err) {
		p.finishFailedRun(ctx, s.attempt, s.err)
	}
}
