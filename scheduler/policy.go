package scheduler

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Policy configures placement, queueing and refusal; zero values take their defaults, None disables a part.
type Policy struct {
	// MaxWaitFactor is the multiple of its objective for which late work waits for spare capacity; 1.5.
	MaxWaitFactor float64
	// Reserve is the fraction of an endpoint's slots that work leaves free for each rank above its own; 0.1.
	Reserve float64
	// LateReserve is the fraction of an endpoint's slots that late work leaves free; 0.3.
	LateReserve float64
	// PromptTokensPerRun is the number of pending prompt tokens that count as much as a run; 2,000.
	PromptTokensPerRun dotterelpulley.Tokens
	// ZonePenalty is the relative increase of the score of an endpoint in another availability zone; 0.05.
	ZonePenalty float64
	// Spread is the random fraction of an endpoint's score, so that hosts with the same view choose differently; 0.2.
	Spread float64
	// Without holds the mechanisms that are switched off.
	Without Mechanisms
}

// Defaults of the policy, from the trials in docs/design/choice.md.
const (
	defaultMaxWaitFactor      = 1.5
	defaultReserve            = 0.1
	defaultLateReserve        = 0.3
	defaultPromptTokensPerRun = 2000
	defaultZonePenalty        = 0.05
	defaultSpread             = 0.2
)

const (
	// minRetryAfter and maxRetryAfter bound the delay before a refused caller retries.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryFraction is the fraction of the time to the deadline within which a caller has to retry.
	retryFraction = 0.25
	// retrySpread is the random fraction added to the delay, so that callers don't retry together.
	retrySpread = 0.3
	// startRateWindow is the time constant over which the rate of starts is measured.
	startRateWindow = time.Second
	// minStarts is the number of recent starts that a kind is taken to have at least.
	minStarts = 0.1
	// fullAnswerTokens is the answer length from which work counts as holding its slot for the full time.
	fullAnswerTokens = 200
)

// pass selects which queued work is placed.
type pass int

const (
	passOnTime pass = iota
	passLate
)

// None is a fraction of zero, as zero selects the default.
const None = -1

func orDefault[T int | float64 | dotterelpulley.Tokens](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return max(value, 0)
}

// latestStart returns when work that is still queued is refused.
func (s *Scheduler) latestStart(w Work) time.Time {
	latest := w.Arrived.Add(time.Duration(orDefault(s.MaxWaitFactor, defaultMaxWaitFactor) * float64(w.Objective)))
	if !w.Deadline.IsZero() && w.Deadline.Before(latest) {
		return w.Deadline
	}
	return latest
}

// prepare updates the derived state of all endpoints for a decision. Unmeasured endpoints are assumed to be as fast as
// the fastest measured one, so that they are tried.
func (v *service) prepare(now time.Time, others unseenPeers) {
	v.eventInterval, v.prefillPerToken = 0, 0
	v.split.update(now, v.sorted)
	slots, free := 0.0, 0.0
	for _, e := range v.sorted {
		e.averagePeers(now)
		e.available, e.expected = e.accepts(now) && v.split.permitsAny(e), e.estimateBacklog(now, others)
		if e.available {
			slots += float64(e.slots())
			free += e.freeSlots()
		}
		if interval := e.interval(); interval > 0 && (v.eventInterval == 0 || interval < v.eventInterval) {
			v.eventInterval = interval
		}
		if prefill := e.prefill(); prefill > 0 && (v.prefillPerToken == 0 || prefill < v.prefillPerToken) {
			v.prefillPerToken = prefill
		}
	}
	v.freeShare = free / max(slots, 1)
	if v.eventInterval == 0 {
		v.eventInterval = time.Millisecond
	}
	if v.prefillPerToken == 0 {
		v.prefillPerToken = defaultPrefillPerToken
	}
}

// choose returns the endpoint with the lowest score for the work in this pass, or nil if it has to wait.
func (s *Scheduler) choose(now time.Time, v *service, w Work, p pass) *endpoint {
	if v.split.prefersTarget(w) {
		if e := s.chooseAmong(now, v, w, p, func(e *endpoint) bool { return e.Version == v.split.Target }); e != nil {
			return e
		}
	}
	return s.chooseAmong(now, v, w, p, func(e *endpoint) bool { return v.split.permits(e, w) })
}

// chooseAmong returns the endpoint with the lowest score for the work among those that match, or nil if none has room.
func (s *Scheduler) chooseAmong(now time.Time, v *service, w Work, p pass, matches func(*endpoint) bool) *endpoint {
	var best *endpoint
	lowest := math.Inf(1)
	for _, e := range v.sorted {
		if !e.available || w.ExcludedEndpoints[e.ID] || !matches(e) {
			w.recordObstacle(now, p, ObstacleUnavailable)
			continue
		}
		unread := v.unreadTokens(now, e, w)
		if obstacle, met := s.obstacle(now, v, e, w, p, unread); met {
			w.recordObstacle(now, p, obstacle)
			continue
		}
		if score := s.score(v, e, w, e.expected, s.savedRuns(v, w, unread)); score < lowest {
			best, lowest = e, score
		}
	}
	return best
}

// obstacle returns what keeps the work from an available endpoint in this pass, if anything does.
func (s *Scheduler) obstacle(now time.Time, v *service, e *endpoint, w Work, p pass, unread float64) (Obstacle, bool) {
	if obstacle, met := s.slotObstacle(e, w, p); met {
		return obstacle, true
	}
	left := w.Arrived.Add(w.Objective).Sub(now)
	switch {
	case p == passOnTime && s.uses(FirstEventCheck) && v.timeToFirstEvent(e, e.expected, unread) > time.Duration(onTimeFraction*float64(left)):
		return ObstacleFirstEvent, true
	case p == passOnTime && s.uses(PauseCheck) && !v.keepsInterval(e, e.expected, w, unread):
		return ObstaclePause, true
	case s.uses(DeadlineCheck) && !v.meetsDeadline(now, e, w):
		return ObstacleDeadline, true
	}
	return 0, false
}

// slotObstacle returns why the endpoint has no slot for work of this rank in this pass, if it has none.
func (s *Scheduler) slotObstacle(e *endpoint, w Work, p pass) (Obstacle, bool) {
	slots := float64(e.slots())
	obstacle, reserve := ObstacleReserve, 0.0
	if s.uses(RankReserve) {
		reserve = slots * orDefault(s.Reserve, defaultReserve) * float64(w.Rank) * w.kind.holdFactor()
	}
	if late := slots * orDefault(s.LateReserve, defaultLateReserve); p == passLate && s.uses(LateReserve) && late > reserve {
		obstacle, reserve = ObstacleLateReserve, late
	}
	switch runs := e.expected.runs; {
	case runs < max(slots-math.Floor(reserve), 1):
		return 0, false
	case runs < slots:
		return obstacle, true
	}
	return ObstacleFull, true
}

// score returns the relative time that the endpoint would take, lower is better.
func (s *Scheduler) score(v *service, e *endpoint, w Work, expected backlog, saved float64) float64 {
	interval := v.eventIntervalOf(e)
	prompt := expected.promptTokens / float64(orDefault(s.PromptTokensPerRun, defaultPromptTokensPerRun))
	score := interval.Seconds() * loadScore(expected.runs+1+prompt-saved)
	if s.uses(FailureAvoidance) {
		score *= 1 + failurePenalty*e.failureRate
	}
	if e.Zone != s.Zone {
		penalty := orDefault(s.ZonePenalty, defaultZonePenalty)
		if s.uses(SizePreference) {
			penalty += v.sizePenalty(w)
		}
		score *= 1 + penalty
	}
	return score * (1 + orDefault(s.Spread, defaultSpread)*s.random.Float64())
}

// loadScore returns the load as it counts in the score: unchanged from one run on, and a positive number below for a load
// from which more is saved than there is.
func loadScore(runs float64) float64 {
	if runs >= 1 {
		return runs
	}
	return 1 / (2 - runs)
}

func (s *Scheduler) refuse(now time.Time, v *service, w Work) Refused {
	reason := ReasonLoad
	if !v.anyUsable(now) {
		reason = ReasonNoEndpoint
	}
	return Refused{ID: w.ID, Reason: reason, RetryAfter: s.retryAfter(now, v, w), Waiting: len(v.queue), Obstacles: *w.obstacles}
}

// retryAfter returns the delay before the caller may retry: the time to serve what waits of its kind at the rate of the kind's
// starts, but soon enough before the deadline for the request to be served, and with a random spread. A kind that starts seldom,
// as more urgent ones take what becomes free, would only be refused again soon.
func (s *Scheduler) retryAfter(now time.Time, v *service, w Work) time.Duration {
	waiting := 0
	for _, other := range v.queue {
		if other.kind == w.kind {
			waiting++
		}
	}
	after := time.Duration(float64(max(waiting, 1)) / max(w.kind.starts.decayed(now), minStarts) * float64(startRateWindow))
	latest := maxRetryAfter
	if !w.Deadline.IsZero() {
		latest = min(latest, time.Duration(retryFraction*float64(w.Deadline.Sub(now))))
	}
	after = min(max(after, minRetryAfter), max(latest, minRetryAfter))
	return after + time.Duration(retrySpread*s.random.Float64()*float64(after))
}

func (v *service) anyUsable(now time.Time) bool {
	for _, e := range v.sorted {
		if e.usable(now) {
			return true
		}
	}
	return false
}
