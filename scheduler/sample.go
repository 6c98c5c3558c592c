package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// slowSampleTime is the time after which a run's latency is reported although it isn't complete, as slow runs would
	// otherwise show long after the others.
	slowSampleTime = 1500 * time.Millisecond
	// slowSampleTokens is the prompt that doubles that time.
	slowSampleTokens = 2400
	// maxSamples limits the samples that are kept until they are taken.
	maxSamples = 4096
)

// Sample is a part of what a run showed of the version of its endpoint: latencies, or the outcome.
type Sample struct {
	Service  dotterelpulley.ServiceID
	Route    dotterelpulley.RouteID
	Version  dotterelpulley.VersionID
	Endpoint dotterelpulley.EndpointID
	PlacedAt time.Time
	// Ended samples hold the outcome; Failed means that the endpoint gave no whole answer.
	Ended  bool
	Failed bool
	// FirstEvent is the time to the first event or the plain answer, relative to that of an empty prompt; EventInterval is the
	// mean time between events. Both are zero if not in this sample.
	FirstEvent    time.Duration
	EventInterval time.Duration
}

// timing is the course of a run's events.
type timing struct {
	firstAt time.Time
	lastAt  time.Time
	events  int
	// firstSampled and intervalSampled mean that the latencies have been reported.
	firstSampled    bool
	intervalSampled bool
}

func (t *timing) observe(now time.Time) {
	if t.events == 0 {
		t.firstAt = now
	}
	t.events++
	t.lastAt = now
}

// interval returns the mean time between events, the time since the last one included if the run goes on.
func (t *timing) interval(now time.Time, ended bool) time.Duration {
	if t.events == 0 {
		return 0
	}
	mean := t.lastAt.Sub(t.firstAt) / time.Duration(max(t.events-1, 1))
	if !ended {
		return max(mean, now.Sub(t.firstAt)/time.Duration(t.events))
	}
	return mean
}

func (s *Scheduler) addSample(r *run, sample Sample) {
	if r.placedAt.Before(r.endpoint.WarmAt) {
		// How slow an endpoint is after its start says nothing of its version.
		sample.FirstEvent, sample.EventInterval = 0, 0
	}
	if len(s.samples) >= maxSamples || sample == (Sample{}) {
		return
	}
	sample.Service, sample.Route, sample.Version, sample.Endpoint = r.Service, r.Route, r.endpoint.Version, r.endpoint.ID
	sample.PlacedAt = r.placedAt
	s.samples = append(s.samples, sample)
}

// sampleFirst reports the time to the first event.
func (s *Scheduler) sampleFirst(now time.Time, r *run) {
	if !r.firstSampled {
		r.firstSampled = true
		s.addSample(r, Sample{FirstEvent: r.relativeFirst(now)})
	}
}

// relativeFirst returns the time since the run was placed, as far as its prompt doesn't explain it.
func (r *run) relativeFirst(now time.Time) time.Duration {
	expected := firstStepTime + time.Duration(r.Prompt)*defaultPrefillPerToken
	return time.Duration(float64(now.Sub(r.placedAt)) * float64(firstStepTime) / float64(expected))
}

// isSlow reports whether the run's first event is so late that it is taken for slow before it comes.
func (r *run) isSlow(now time.Time) bool {
	return now.Sub(r.placedAt) >= slowSampleTime+slowSampleTime*time.Duration(r.Prompt)/slowSampleTokens
}

// sampleEnd reports the outcome of a run and the latencies that haven't been. A run that did not take place, or that this side
// ended early or after its first event, has no outcome.
func (s *Scheduler) sampleEnd(now time.Time, r *run, result Result) {
	switch result {
	case ResultCompleted:
		sample := Sample{Ended: true}
		if !r.firstSampled {
			sample.FirstEvent = r.relativeFirst(now)
		}
		if r.streaming && !r.intervalSampled {
			sample.EventInterval = r.interval(now, true)
		}
		s.addSample(r, sample)
	case ResultFailed, ResultDead:
		s.addSample(r, Sample{Ended: true, Failed: true})
	case ResultCancelled:
		if !r.streaming && now.Sub(r.placedAt) >= slowSampleTime {
			// The caller gave up waiting for an endpoint that has shown nothing for long.
			s.addSample(r, Sample{Ended: true, Failed: true})
		}
	case ResultRefused, ResultUnreachable, ResultWrongInstance:
	}
}

// TakeSamples returns the samples since the last call.
func (s *Scheduler) TakeSamples(now time.Time) []Sample {
	for _, r := range s.runs {
		if r.streaming && !r.intervalSampled && now.Sub(r.firstAt) >= slowSampleTime {
			r.intervalSampled = true
			s.addSample(r, Sample{EventInterval: r.interval(now, false)})
		}
		if r.isSlow(now) {
			s.sampleFirst(now, r)
		}
	}
	taken := s.samples
	s.samples = nil
	return taken
}
