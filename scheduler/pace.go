package scheduler

import "time"

const (
	// reportedPaces is the number of endpoints whose pace is in each report of a host: a host of a large fleet gets some
	// hundred reports a second, so each endpoint's pace reaches it several times.
	reportedPaces = 2
	// paceReportTime is how long after an endpoint's last event its measured pace is reported.
	paceReportTime = time.Second
	// peerPaceWeight is the weight of a report in the moving average of what the other hosts measure.
	peerPaceWeight = 0.3
	// ownPaceSamples is the number of intervals from which on a host goes by its own measurement alone.
	ownPaceSamples = 8
)

// Pace is what a host has measured of an endpoint. In a large fleet each host meets most endpoints too seldom to measure
// them itself.
type Pace struct {
	Key             uint32
	EventInterval   time.Duration
	PrefillPerToken time.Duration
}

// nextPaces returns the paces for this host's next report, which takes turns among the endpoints that it measures.
func (s *Scheduler) nextPaces(now time.Time) []Pace {
	var paces []Pace
	for _, id := range s.Services() {
		for _, e := range s.services[id].sorted {
			if e.intervalSamples > 0 && now.Sub(e.lastActivity) <= paceReportTime {
				paces = append(paces, Pace{Key: e.key, EventInterval: e.eventInterval, PrefillPerToken: e.prefillPerToken})
			}
		}
	}
	if len(paces) <= reportedPaces {
		return paces
	}
	first := s.paceTurn % len(paces)
	s.paceTurn += reportedPaces
	return append(paces[first:], paces[:first]...)[:reportedPaces]
}

// observePeerPace updates what the other hosts measure of the endpoint.
func (e *endpoint) observePeerPace(p Pace) {
	average := func(old, sample time.Duration) time.Duration {
		if old == 0 || sample == 0 {
			return max(old, sample)
		}
		return old + time.Duration(peerPaceWeight*float64(sample-old))
	}
	e.peerPace.EventInterval = average(e.peerPace.EventInterval, p.EventInterval)
	e.peerPace.PrefillPerToken = average(e.peerPace.PrefillPerToken, p.PrefillPerToken)
}

// interval returns the endpoint's average time per event; zero if neither this host nor another has measured it.
func (e *endpoint) interval() time.Duration {
	if e.intervalSamples < ownPaceSamples && e.peerPace.EventInterval > 0 {
		return e.peerPace.EventInterval
	}
	return e.eventInterval
}

// prefill returns the endpoint's average time per prompt token; zero if neither this host nor another has measured it.
func (e *endpoint) prefill() time.Duration {
	if e.prefillPerToken == 0 {
		return e.peerPace.PrefillPerToken
	}
	return e.prefillPerToken
}
