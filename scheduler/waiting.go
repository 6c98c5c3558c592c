package scheduler

import "time"

// WaitingCount is what one host tells others of the work that waits on it and can still be on time.
type WaitingCount struct {
	Urgency
	// Service is the short name of the service.
	Service uint32
	Count   int
}

// queued returns what waits on this host and can still be on time.
func (s *Scheduler) queued(now time.Time) []WaitingCount {
	var all []WaitingCount
	for _, id := range s.Services() {
		v := s.services[id]
		for _, w := range v.queue {
			if !now.Before(w.Arrived.Add(w.Objective)) {
				continue
			}
			if n := len(all); n > 0 && all[n-1].Service == v.key && all[n-1].Urgency == w.Urgency {
				all[n-1].Count++
				continue
			}
			all = append(all, WaitingCount{Urgency: w.Urgency, Service: v.key, Count: 1})
		}
	}
	return all
}

// waitingKey is what work waits for, and how urgently.
type waitingKey struct {
	Urgency
	service uint32
}

// yields reports whether the free slots are needed by more urgent work that waits on other hosts; short answers
// don't hold them for long.
func (s *Scheduler) yields(v *service, w Work, t turn) bool {
	ahead := 0
	for key, count := range s.waiting {
		if key.service == v.key && (t == turnLate || key.Compare(w.Urgency) < 0) {
			ahead += count
		}
	}
	return ahead > 0 && v.free() <= float64(ahead)*holding(w)
}

// free is how many slots of the service's endpoints are taken to be free.
func (v *service) free() float64 {
	free := 0.0
	for _, e := range v.order {
		if e.open {
			free += max(float64(e.slots())-e.has.runs, 0)
		}
	}
	return free
}
