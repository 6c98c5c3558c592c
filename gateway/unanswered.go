package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// answerWatch sends a request that has no answer yet through another host as well, when this host's links are lost and no endpoint
// sends anything. The first of both that answers is taken, and only then the other one is given up.
type answerWatch struct {
	*proxiedRequest
	ctx     context.Context
	attempt attempt
	// sent is set when the request is on its way.
	sent atomic.Bool
	// end ends the attempt that waits for its answer.
	end context.CancelFunc
	// successor is the attempt through another host that has answered; nil if there is none.
	successor *successor
}

// dispatch sends the request and waits for the response's headers; if the watch has a successor then, its answer is the one to use.
func (w *answerWatch) dispatch() (*connector.Exchange, error) {
	// The parent ends with the request, and this context with it.
	ctx, end := context.WithCancel(w.ctx)
	w.end = end
	seeking, stopSeeking := context.WithCancel(w.ctx)
	awaiting, stopAwaiting := context.WithCancel(w.ctx)
	defer stopAwaiting()
	sought := make(chan struct{})
	withdraw := context.AfterFunc(w.gateway.paths.nextLoss(w.service), func() {
		defer close(sought)
		w.seekSuccessor(seeking, awaiting)
	})
	exchange, err := w.proxiedRequest.dispatch(ctx, w.attempt, func() { w.sent.Store(true) })
	stopSeeking()
	if err == nil {
		// What another host works on is only kept if the attempt has failed.
		stopAwaiting()
	}
	if !withdraw() {
		<-sought
	}
	return exchange, err
}

// seekSuccessor tries to get an answer through other hosts while the links are lost. No further host is tried once seeking is done; the
// answer of the one that has the request is awaited until awaiting is.
func (w *answerWatch) seekSuccessor(seeking, awaiting context.Context) {
	for seeking.Err() == nil {
		if !w.mustForward() {
			select {
			case <-w.gateway.paths.nextLoss(w.service).Done():
			case <-seeking.Done():
			}
			continue
		}
		if w.sent.Load() && w.gateway.connector.Silence(time.Now()) >= linkSilence && w.tryHelper(awaiting) {
			return
		}
		repeater.Sleep(seeking, successorRetryInterval)
	}
}

// tryHelper sends the request through another host, and reports whether that has answered by the time that the context is done.
func (w *answerWatch) tryHelper(ctx context.Context) bool {
	if !w.attempt.arrived {
		// It is on its way, which the budget of retries counts from here on.
		w.noteArrival(w.attempt)
		w.attempt.arrived = true
	}
	if !w.canRunAgain() {
		return false
	}
	s := w.startThroughHelper(w.ctx, w.attempt)
	if s == nil {
		return false
	}
	keep := context.AfterFunc(ctx, s.cancel)
	s.goroutines.Wait()
	if s.cancelled = !keep(); !s.cancelled && s.goesOn() {
		w.gateway.metrics.Inc("unanswered-handed-over")
		w.successor = s
		w.end()
		return true
	}
	w.finishSuccessor(w.ctx, s)
	return false
}
