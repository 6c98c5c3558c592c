package scheduler

import "time"

const (
	// chunkTokens is how many prompt tokens an engine reads between two steps of its running requests, a usual default.
	chunkTokens = 1024
	// stepsPerEvent is how many steps an event takes, the tokens that it holds.
	stepsPerEvent = 5
	// defaultReading is the time per prompt token of an engine of which nothing is known.
	defaultReading = 25 * time.Microsecond
	// onTimeShare is the part of the time left that a first event may be expected to take.
	onTimeShare = 0.9
	// finishShare is the part of the time left that a whole answer may be expected to take, as estimates of lengths are often off.
	finishShare = 0.9
)

// firstEvent is the expected time to the first event: engines read prompts one after another.
func (v *service) firstEvent(e *endpoint, has backlog, w Work) time.Duration {
	if w.Prompt == 0 {
		return 0
	}
	return firstStep + time.Duration((has.unread+float64(w.Prompt))*float64(v.readingOf(e)))
}

// smooth reports whether the work's prompt leaves the streams beside it without too long a pause:
// each chunk of it that is read delays them, and an event takes several steps.
func (v *service) smooth(e *endpoint, has backlog, w Work) bool {
	if w.Prompt == 0 || w.MaxEventInterval == 0 || e.load() == 0 {
		return true
	}
	chunk := v.readingOf(e) * chunkTokens
	chunks := int(w.MaxEventInterval / max(chunk, 1))
	if chunks >= stepsPerEvent {
		return true
	}
	return has.unread+float64(w.Prompt) <= float64(chunks*chunkTokens)
}

// finishes reports whether the work's answer is likely to be whole before its deadline.
func (v *service) finishes(now time.Time, e *endpoint, w Work) bool {
	if w.Answer == 0 || w.Prompt == 0 || w.Deadline.IsZero() {
		return true
	}
	events := float64(w.Answer) / stepsPerEvent
	left := time.Duration(finishShare * float64(w.Deadline.Sub(now)))
	whole := func(pace time.Duration) time.Duration { return time.Duration(events * float64(pace)) }
	return whole(v.paceOf(e)) <= left || whole(v.pace) > left
}

func (v *service) paceOf(e *endpoint) time.Duration {
	if e.pace > 0 {
		return e.pace
	}
	return v.pace
}

func (v *service) readingOf(e *endpoint) time.Duration {
	if e.reading > 0 {
		return e.reading
	}
	return v.reading
}
