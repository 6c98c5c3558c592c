package scheduler

import "time"

// WaitingCount is the number of requests of one service and urgency that wait on a host and can still be on time.
type WaitingCount struct {
	Urgency
	// Service is the hash that identifies the service.
	Service uint32
	Count   int
	// Oldest is the time since the turn of the first of them, which is its arrival or up to one objective earlier.
	Oldest time.Duration
}

// waitingCounts returns the numbers of requests that wait on this host and can still be on time.
func (s *Scheduler) waitingCounts(now time.Time) []WaitingCount {
	var counts []WaitingCount
	for _, id := range s.Services() {
		v := s.services[id]
		for _, w := range v.queue {
			if !now.Before(w.Arrived.Add(w.Objective)) {
				continue
			}
			if n := len(counts); n > 0 && counts[n-1].Service == v.key && counts[n-1].Urgency == w.Urgency {
				counts[n-1].Count++
				continue
			}
			counts = append(counts, WaitingCount{Urgency: w.Urgency, Service: v.key, Count: 1, Oldest: now.Sub(w.turn)})
		}
	}
	return counts
}

// waitingKey identifies waiting work by service and urgency.
type waitingKey struct {
	Urgency
	service uint32
}

// yieldsToPeers reports whether the free slots are needed by work that waits on other hosts and is more urgent, or as urgent
// and waits for longer; a kind with short answers holds slots only briefly and so yields less. Without this order, all hosts
// would place their next work on a slot that becomes free.
func (s *Scheduler) yieldsToPeers(v *service, w Work, p pass) bool {
	ahead := 0.0
	for key, count := range s.peerWaiting {
		if key.service == v.key && s.uses(UrgencyOrder) && (p == passLate || key.Compare(w.Urgency) < 0) {
			ahead += float64(count)
		}
	}
	if p == passOnTime && s.hearsAllChanges() && s.uses(ArrivalOrder) {
		ahead += s.waitingForLonger(v, w)
	}
	return ahead > 0 && v.freeSlots() <= ahead*w.kind.holdFactor()
}

// hearsAllChanges reports whether all hosts tell this one of their changes at once. In a larger fleet much of what is said to
// wait elsewhere has been placed since, and hosts that left it slots would leave them empty.
func (s *Scheduler) hearsAllChanges() bool {
	return s.ReportDelay > 0
}

// waitingForLonger returns the estimated number of requests on other hosts that are as urgent as the work and whose turn is
// earlier.
func (s *Scheduler) waitingForLonger(v *service, w Work) float64 {
	earlier := 0.0
	for _, h := range s.hostReports {
		for _, waiting := range h.Waiting {
			if waiting.Service != v.key || waiting.Urgency != w.Urgency || waiting.Oldest <= 0 {
				continue
			}
			ahead := w.turn.Sub(h.receivedAt.Add(-waiting.Oldest))
			if ahead > 0 {
				// Those after the first are taken to have arrived evenly.
				earlier += 1 + float64(waiting.Count-1)*min(float64(ahead)/float64(waiting.Oldest), 1)
			}
		}
	}
	return earlier
}

// freeSlots returns the estimated number of free slots on the service's available endpoints.
func (v *service) freeSlots() float64 {
	free := 0.0
	for _, e := range v.sorted {
		if e.available {
			free += e.freeSlots()
		}
	}
	return free
}

// freeSlots returns the estimated number of free slots.
func (e *endpoint) freeSlots() float64 {
	return max(float64(e.slots())-e.expected.runs, 0)
}
