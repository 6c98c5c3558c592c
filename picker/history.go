package picker

import "time"

const (
	historyStep    = 250 * time.Millisecond
	historyBuckets = 40
)

// history holds the number of own requests in flight over the last 10 s.
type history struct {
	inflight [historyBuckets]int32
	step     int64
}

func stepOf(t time.Time) int64 {
	return t.UnixNano() / int64(historyStep)
}

// record sets the number of requests in flight from now on.
func (h *history) record(now time.Time, inflight int) {
	step := stepOf(now)
	if step < h.step {
		step = h.step
	}
	h.fill(step)
	h.inflight[step%historyBuckets] = int32(inflight)
}

// fill copies the last number to the steps without a change.
func (h *history) fill(step int64) {
	if h.step == 0 || step-h.step >= historyBuckets {
		last := h.inflight[h.step%historyBuckets]
		for i := range h.inflight {
			h.inflight[i] = last
		}
		h.step = step
		return
	}
	last := h.inflight[h.step%historyBuckets]
	for s := h.step + 1; s <= step; s++ {
		h.inflight[s%historyBuckets] = last
	}
	h.step = step
}

// at returns the number of requests in flight at the time.
func (h *history) at(t time.Time) int {
	step := stepOf(t)
	if step > h.step {
		step = h.step
	}
	if oldest := h.step - historyBuckets + 1; step < oldest {
		step = oldest
	}
	if step < 0 {
		return 0
	}
	return int(h.inflight[step%historyBuckets])
}
