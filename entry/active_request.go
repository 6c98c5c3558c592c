package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/admitter"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

// activeRequest is a granted request on its endpoint; its timing and outcome update the picker, admitter and limiter.
type activeRequest struct {
	queue  *queue
	waiter *waiter
	choice picker.Choice
	sentAt time.Time

	once               sync.Once
	output             *output
	firstChunkReceived bool
}

// timing holds the number of chunks of an answer and when the first and last ones arrived.
type timing struct {
	chunks int
	first  time.Time
	last   time.Time
}

// meanGap returns the mean gap between chunks.
func (t timing) meanGap() time.Duration {
	if t.chunks < 2 {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(t.chunks-1)
}

// observe measures the output, which no attempt has written to yet.
func (a *activeRequest) observe(o *output) {
	a.output = o
	o.setFirstChunkHook(a.onFirstChunk)
}

// timing returns the timing of the chunks so far. The queue's lock must not be held, because onFirstChunk acquires it
// while the output's lock is held.
func (a *activeRequest) timing() timing {
	var t timing
	if a.output != nil {
		t.first, t.last, t.chunks = a.output.times()
	}
	return t
}

func (a *activeRequest) onFirstChunk() {
	q := a.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	a.firstChunkReceived = true
	q.picker.FirstToken(a.choice, time.Since(a.sentAt))
}

// release ends the request; only the first call has an effect.
func (a *activeRequest) release(result attemptResult) {
	a.once.Do(func() { a.finish(time.Now(), result, a.timing()) })
}

func (a *activeRequest) finish(now time.Time, result attemptResult, t timing) {
	q := a.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	outcome := pickerOutcome(result)
	q.picker.Ended(now, a.choice, picker.Result{
		Outcome:       outcome,
		Started:       a.firstChunkReceived,
		Tokens:        dotterelpulley.Tokens(t.chunks),
		BetweenTokens: t.meanGap(),
	})
	q.admitter.Finished(now, a.waiter.id, a.cost(t), admitterOutcome(outcome))
	a.updateLimit(now, outcome, t)
	q.grantWaiting(now, a.choice.Service)
}

func (a *activeRequest) isPlain() bool {
	return a.queue.serviceKinds[a.choice.Service] == lister.KindPlain
}

func (a *activeRequest) cost(t timing) admitter.Cost {
	if a.isPlain() {
		return 1
	}
	prompt := picker.PromptTokens(len(a.waiter.request.Prompt))
	return admitter.Cost(float64(t.chunks) + promptTokenCost*prompt)
}

// updateLimit updates the endpoint's limit by the outcome and timing of the request.
func (a *activeRequest) updateLimit(now time.Time, outcome picker.Outcome, t timing) {
	q := a.queue
	id := a.choice.Endpoint
	sample := limiter.Sample{
		Inflight:   a.choice.Inflight + 1,
		Backlogged: q.admitter.Waiting(a.choice.Service) > 0,
	}
	switch {
	case outcome == picker.RunNotAdmitted:
		q.picker.SetLimit(id, q.limiter.Failed(now, id))
		return
	case !a.firstChunkReceived:
		return
	case !a.isPlain():
		sample.FirstToken = t.first.Sub(a.sentAt)
		sample.BetweenTokens = t.meanGap()
	}
	q.picker.SetLimit(id, q.limiter.Observe(now, id, sample))
}

func pickerOutcome(result attemptResult) picker.Outcome {
	switch result := result.(type) {
	case attemptCompleted:
		return picker.RunCompleted
	case attemptNotStarted:
		switch result.reason {
		case reasonNotAdmitted:
			return picker.RunNotAdmitted
		case reasonNotConnected:
			return picker.RunFailed
		}
		return picker.RunCancelled
	case attemptInterrupted:
		return picker.RunFailed
	case attemptFailed, attemptCancelled:
		return picker.RunCancelled
	}
	return picker.RunCancelled
}

func admitterOutcome(outcome picker.Outcome) admitter.Outcome {
	if outcome == picker.RunCompleted {
		return admitter.OutcomeCompleted
	}
	return admitter.OutcomeFailed
}
