package emulator

import "time"

// changeTransit is the time that a change takes from one host to another.
const changeTransit = 2 * time.Millisecond

// scheduleChange tells the other hosts what has changed in the host's loads, at once or when its next change is due.
func (r *fleetRun) scheduleChange(h *fleetHost) {
	if r.ChangeInterval <= 0 || h.changing || !h.scheduler.HasChanged() {
		return
	}
	h.changing = true
	wait := max(h.changeToldAt+r.ChangeInterval-r.clock.elapsed, 0)
	r.clock.schedule(wait, func() {
		h.changing, h.changeToldAt = false, r.clock.elapsed
		change := h.scheduler.TakeChange(r.clock.now())
		if r.OmitWaiting {
			change.Waiting = nil
		}
		r.clock.schedule(changeTransit, func() {
			for _, other := range r.hosts {
				if other != h {
					other.scheduler.ApplyChange(r.clock.now(), h.id, change)
					r.decide(other)
				}
			}
		})
	})
}
