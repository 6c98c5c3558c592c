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

// sending is a granted request on its endpoint; what it shows is learned from.
type sending struct {
	queue  *queue
	waiter *waiter
	choice picker.Choice
	at     time.Time

	once    sync.Once
	output  *output
	started bool
}

// pace is how the chunks of an answer came.
type pace struct {
	chunks int
	first  time.Time
	last   time.Time
}

// between returns the mean gap between chunks.
func (p pace) between() time.Duration {
	if p.chunks < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.chunks-1)
}

// follow learns from the output, which no attempt has written to yet.
func (s *sending) follow(o *output) {
	s.output = o
	o.onBegin(s.begun)
}

// pace returns how the chunks came; the queue's lock must not be held, since begun takes it under the output's.
func (s *sending) pace() pace {
	var p pace
	if s.output != nil {
		p.first, p.last, p.chunks = s.output.times()
	}
	return p
}

func (s *sending) begun() {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.started = true
	q.picker.FirstToken(s.choice, time.Since(s.at))
}

// release ends the sending; only the first call counts.
func (s *sending) release(result attemptResult) {
	s.once.Do(func() { s.end(time.Now(), result, s.pace()) })
}

func (s *sending) end(now time.Time, result attemptResult, p pace) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	outcome := outcomeOf(result)
	q.picker.Ended(now, s.choice, picker.Result{
		Outcome:       outcome,
		Started:       s.started,
		Tokens:        dotterelpulley.Tokens(p.chunks),
		BetweenTokens: p.between(),
	})
	q.admitter.Finished(now, s.waiter.id, s.cost(p), endingOf(outcome))
	s.limit(now, outcome, p)
	q.run(now, s.choice.Service)
}

func (s *sending) plain() bool {
	return s.queue.kinds[s.choice.Service] == lister.KindPlain
}

func (s *sending) cost(p pace) admitter.Cost {
	if s.plain() {
		return 1
	}
	prompt := picker.PromptTokens(len(s.waiter.request.Prompt))
	return admitter.Cost(float64(p.chunks) + promptShare*prompt)
}

// limit lets the endpoint's limit learn from the run.
func (s *sending) limit(now time.Time, outcome picker.Outcome, p pace) {
	q := s.queue
	id := s.choice.Endpoint
	sample := limiter.Sample{
		Inflight:   s.choice.Inflight + 1,
		Backlogged: q.admitter.Waiting(s.choice.Service) > 0,
	}
	switch {
	case outcome == picker.RunNotAdmitted:
		q.picker.SetLimit(id, q.limiter.Failed(now, id))
		return
	case !s.started:
		return
	case !s.plain():
		sample.FirstToken = p.first.Sub(s.at)
		sample.BetweenTokens = p.between()
	}
	q.picker.SetLimit(id, q.limiter.Observe(now, id, sample))
}

func outcomeOf(result attemptResult) picker.Outcome {
	switch result := result.(type) {
	case attemptWhole:
		return picker.RunCompleted
	case attemptNotStarted:
		switch result.reason {
		case notAdmitted:
			return picker.RunNotAdmitted
		case notConnected:
			return picker.RunFailed
		}
		return picker.RunCancelled
	case attemptBroken:
		return picker.RunFailed
	case attemptFailed, attemptCancelled:
		return picker.RunCancelled
	}
	return picker.RunCancelled
}

func endingOf(outcome picker.Outcome) admitter.Outcome {
	if outcome == picker.RunCompleted {
		return admitter.OutcomeCompleted
	}
	return admitter.OutcomeFailed
}
