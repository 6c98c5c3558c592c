package scheduler

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Policy weighs placement, waiting and refusal; each zero value takes its default, None switches a part off.
type Policy struct {
	// MaxWaitFactor is the multiple of its objective for which late work waits for room that is left over; 1.5.
	MaxWaitFactor float64
	// Reserve is the part of an endpoint's slots that each lower rank leaves free; 0.1.
	Reserve float64
	// LateReserve is the part of an endpoint's slots that late work leaves free; 0.3.
	LateReserve float64
	// PromptRun is the number of waiting prompt tokens that weigh as much as a run; 2,000.
	PromptRun dotterelpulley.Tokens
	// ZonePenalty is by how much an endpoint of another zone looks slower; 0.05.
	ZonePenalty float64
	// Spread is the random part of an endpoint's score, so that hosts with the same view choose apart; 0.2.
	Spread float64
}

// defaults of the policy, from the trials in docs/design/choice.md.
const (
	defaultLateWait    = 1.5
	defaultReserve     = 0.1
	defaultLateReserve = 0.3
	defaultPromptRun   = 2000
	defaultZonePenalty = 0.05
	defaultSpread      = 0.2
)

const (
	// leastRetry and mostRetry bound the time after which a refused caller comes back.
	leastRetry = 300 * time.Millisecond
	mostRetry  = 4 * time.Second
	// retryShare is the part of the time left after which a caller comes back at the latest.
	retryShare = 0.25
	// retrySpread is the random part of that time, so that callers don't return together.
	retrySpread = 0.3
	// startedWindow is the time over which the rate of starts is counted.
	startedWindow = time.Second
	// usualAnswer is the number of tokens from which an answer holds its slot as long as any.
	usualAnswer = 200
)

// turn tells which of the waiting work is placed.
type turn int

const (
	turnOnTime turn = iota
	turnLate
)

// None stands for a part of zero, as zero takes the default.
const None = -1

func orDefault[T int | float64 | dotterelpulley.Tokens](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

// latest is when work that still waits is refused.
func (s *Scheduler) latest(w Work) time.Time {
	latest := w.Arrived.Add(time.Duration(orDefault(s.MaxWaitFactor, defaultLateWait) * float64(w.Objective)))
	if !w.Deadline.IsZero() && w.Deadline.Before(latest) {
		return w.Deadline
	}
	return latest
}

// prepare brings what a decision needs of each endpoint up to date, and what is taken for unknown ones: the best
// that is known, so that they are tried.
func (v *service) prepare(now time.Time, others int) {
	v.pace, v.reading = 0, 0
	for _, e := range v.order {
		e.open, e.has = e.usable(now), e.backlog(now, others)
		if e.pace > 0 && (v.pace == 0 || e.pace < v.pace) {
			v.pace = e.pace
		}
		if e.reading > 0 && (v.reading == 0 || e.reading < v.reading) {
			v.reading = e.reading
		}
	}
	if v.pace == 0 {
		v.pace = time.Millisecond
	}
	if v.reading == 0 {
		v.reading = defaultReading
	}
}

// choose returns the endpoint that suits the work best in its turn, nil if it is to wait.
func (s *Scheduler) choose(now time.Time, v *service, w Work, t turn) *endpoint {
	var best *endpoint
	lowest := math.Inf(1)
	left := w.Arrived.Add(w.Objective).Sub(now)
	for _, e := range v.order {
		if !e.open || w.ExcludedEndpoints[e.ID] {
			continue
		}
		has := e.has
		if !s.room(e, has, w, t) {
			continue
		}
		if t == turnOnTime && v.firstEvent(e, has, w) > time.Duration(onTimeShare*float64(left)) {
			continue
		}
		if t == turnOnTime && !v.smooth(e, has, w) {
			continue
		}
		if !v.finishes(now, e, w) {
			continue
		}
		if score := s.score(v, e, has); score < lowest {
			best, lowest = e, score
		}
	}
	return best
}

// room reports whether the endpoint has a slot that work of this rank and turn may take.
func (s *Scheduler) room(e *endpoint, has backlog, w Work, t turn) bool {
	slots := float64(e.slots())
	reserve := slots * orDefault(s.Reserve, defaultReserve) * float64(w.Rank) * holding(w)
	if t == turnLate {
		reserve = max(reserve, slots*orDefault(s.LateReserve, defaultLateReserve))
	}
	return has.runs < max(slots-math.Floor(reserve), 1)
}

// holding is how long the work will hold its slot, 1 for a usual answer and less for a short one.
func holding(w Work) float64 {
	if w.Answer == 0 {
		return 1
	}
	return min(float64(w.Answer)/usualAnswer, 1)
}

// score is the relative time that the endpoint would take.
func (s *Scheduler) score(v *service, e *endpoint, has backlog) float64 {
	pace := v.paceOf(e)
	prompt := has.unread / float64(orDefault(s.PromptRun, defaultPromptRun))
	score := pace.Seconds() * (has.runs + 1 + prompt) * (1 + failurePenalty*e.failures)
	if e.Zone != s.Zone {
		score *= 1 + orDefault(s.ZonePenalty, defaultZonePenalty)
	}
	return score * (1 + orDefault(s.Spread, defaultSpread)*s.random.Float64())
}

// count lets the starts of the last window fade.
func (v *service) count(now time.Time) {
	if passed := now.Sub(v.startedAt); passed > 0 {
		v.started *= math.Exp(-passed.Seconds() / startedWindow.Seconds())
		v.startedAt = now
	}
}

func (s *Scheduler) refuse(now time.Time, v *service, w Work) Refused {
	reason := ReasonLoad
	if !v.any(now) {
		reason = ReasonNoEndpoint
	}
	return Refused{ID: w.ID, Reason: reason, RetryAfter: s.comeBack(now, v, w), Waiting: len(v.queue)}
}

// comeBack is when the caller may try again: when the queue has been served at the rate of the last second's
// starts, but no later than leaves it the time to be served, and not all at once.
func (s *Scheduler) comeBack(now time.Time, v *service, w Work) time.Duration {
	v.count(now)
	after := time.Duration(float64(len(v.queue)) / max(v.started, 1) * float64(startedWindow))
	latest := mostRetry
	if !w.Deadline.IsZero() {
		latest = min(latest, time.Duration(retryShare*float64(w.Deadline.Sub(now))))
	}
	after = min(max(after, leastRetry), max(latest, leastRetry))
	return after + time.Duration(retrySpread*s.random.Float64()*float64(after))
}

func (v *service) any(now time.Time) bool {
	for _, e := range v.order {
		if e.usable(now) {
			return true
		}
	}
	return false
}
