package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// run is work that has been placed on an endpoint.
type run struct {
	Work
	timing
	endpoint *endpoint
	// prefilled means that the prompt no longer counts as pending, streaming that the first event has come.
	prefilled bool
	streaming bool
	placedAt  time.Time
	// unread is the number of prompt tokens that the endpoint is taken to read.
	unread dotterelpulley.Tokens
	// tokensAhead is the number of prompt tokens to prefill up to the run's first event, its own included.
	tokensAhead dotterelpulley.Tokens
}

func (s *Scheduler) start(now time.Time, v *service, w Work, e *endpoint) {
	unread := dotterelpulley.Tokens(v.unreadTokens(now, e, w))
	if w.Prefix.Key != 0 {
		v.placed.add(now, w.Prefix.Key, e)
		v.homeRates.add(e, w.homes)
	}
	e.running++
	e.allowance.use(now)
	e.pendingPrompt += unread
	e.addPlacement(now, s.reportDelay(), unread)
	s.changed.add(e)
	if e.streaming == 0 {
		e.lastActivity = now
	}
	s.runs[w.ID] = &run{Work: w, endpoint: e, placedAt: now, unread: unread, tokensAhead: e.pendingPrompt + e.peerLoad.Prompt}
	v.kinds.of(w.Route).starts.add(now)
}

// ObserveFirstEvent records the first event of a run, which shows that its prompt has been prefilled.
func (s *Scheduler) ObserveFirstEvent(now time.Time, id ID) {
	if r, ok := s.runs[id]; ok && !r.prefilled {
		if r.unread == r.Prompt {
			r.endpoint.observePrefill(now.Sub(r.placedAt), r.tokensAhead)
		}
		r.endpoint.lastActivity = now
		r.endPrefill()
		s.changed.add(r.endpoint)
		r.endpoint.streaming++
		r.streaming = true
		r.observe(now)
		s.sampleFirst(now, r)
	}
}

// endPrefill subtracts the run's prompt from the endpoint's pending prompt tokens.
func (r *run) endPrefill() {
	if !r.prefilled {
		r.prefilled = true
		r.endpoint.pendingPrompt -= r.unread
	}
}

// ObserveInterval records the time between two events of a run, or the time of a plain answer.
func (s *Scheduler) ObserveInterval(now time.Time, id ID, interval time.Duration) {
	if r, ok := s.runs[id]; ok {
		r.observe(now)
		r.endpoint.observeInterval(interval)
		r.endpoint.lastActivity = now
	}
}

// Ended releases the slot of a run.
func (s *Scheduler) Ended(now time.Time, id ID, result Result) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	r.endPrefill()
	if result == ResultCompleted {
		r.endpoint.observeRun(now.Sub(r.placedAt))
		if r.streaming {
			s.service(r.Service).observeAnswer(r.Answer, r.events)
		}
	}
	delete(s.runs, id)
	r.endpoint.running--
	s.changed.add(r.endpoint)
	if r.streaming {
		r.endpoint.streaming--
	}
	if result == ResultCancelled && !r.streaming && r.Prompt > 0 && now.Sub(r.placedAt) > silenceTimeout && r.endpoint.lastActivity.Before(r.placedAt) {
		// No run has had an event since this one was placed: the endpoint may be unreachable.
		result = ResultUnreachable
	}
	s.sampleEnd(now, r, result)
	r.endpoint.recordResult(now, result)
}
