package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// chunkTokens is the number of prompt tokens that an engine prefills between two decode steps, a common default.
	chunkTokens = 1024
	// stepsPerEvent is the number of decode steps in an event.
	stepsPerEvent = 5
	// defaultTokensPerEvent is the number of expected tokens for each event of an answer while none has been measured.
	defaultTokensPerEvent = stepsPerEvent
	// tokensPerEventSamples is the number of whole answers over which the expected tokens for each event are averaged.
	tokensPerEventSamples = 100
	// nearFastest is how many times the interval of the fastest endpoint counts as equally fast, as measurements vary.
	nearFastest = 1.25
	// defaultPrefillPerToken is the time per prompt token while no engine has been measured.
	defaultPrefillPerToken = 25 * time.Microsecond
	// onTimeFraction is the fraction of the remaining objective that the expected time to the first event may take.
	onTimeFraction = 0.9
	// finishFraction is the fraction of the remaining time that the expected complete answer may take, as length estimates are often off.
	finishFraction = 0.9
)

// timeToFirstEvent returns the expected time to the first event; engines prefill prompts one after another.
func (v *service) timeToFirstEvent(e *endpoint, expected backlog, unread float64) time.Duration {
	if unread == 0 {
		return 0
	}
	return firstStepTime + time.Duration((expected.promptTokens+unread)*float64(v.prefillPerTokenOf(e)))
}

// keepsInterval reports whether prefilling the work's prompt keeps the event interval of concurrent streams within the
// work's own MaxEventInterval: each prefilled chunk delays them, and an event takes several steps.
func (v *service) keepsInterval(e *endpoint, expected backlog, w Work, unread float64) bool {
	if unread == 0 || w.MaxEventInterval == 0 || e.load() == 0 {
		return true
	}
	chunk := v.prefillPerTokenOf(e) * chunkTokens
	chunks := int(w.MaxEventInterval / max(chunk, 1))
	if chunks >= stepsPerEvent {
		return true
	}
	return expected.promptTokens+unread <= float64(chunks*chunkTokens)
}

// meetsDeadline reports whether the endpoint is likely to complete the answer before the deadline. An answer that not even the
// fastest endpoint is likely to complete may still turn out shorter, but only runs there.
func (v *service) meetsDeadline(now time.Time, e *endpoint, w Work) bool {
	if w.Answer == 0 || w.Prompt == 0 || w.Deadline.IsZero() {
		return true
	}
	events := float64(w.Answer) / v.tokensPerEvent()
	left := finishFraction * float64(w.Deadline.Sub(now))
	interval := float64(v.eventIntervalOf(e))
	return events*interval <= left || interval <= nearFastest*float64(v.eventInterval)
}

// observeAnswer updates the number of expected tokens for each event with a whole answer.
func (v *service) observeAnswer(tokens dotterelpulley.Tokens, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	const kept = 1 - 1.0/tokensPerEventSamples
	v.answerTokens = v.answerTokens*kept + float64(tokens)
	v.answerEvents = v.answerEvents*kept + float64(events)
}

// tokensPerEvent returns how many tokens an answer is expected to have for each of its events. Where callers only state the most
// that they take, that is more than an event holds.
func (v *service) tokensPerEvent() float64 {
	if v.answerEvents == 0 {
		return defaultTokensPerEvent
	}
	return max(v.answerTokens/v.answerEvents, 1)
}

func (v *service) eventIntervalOf(e *endpoint) time.Duration {
	if interval := e.interval(); interval > 0 {
		return interval
	}
	return v.eventInterval
}

func (v *service) prefillPerTokenOf(e *endpoint) time.Duration {
	if prefill := e.prefill(); prefill > 0 {
		return prefill
	}
	return v.prefillPerToken
}
