package rationer

import (
	"slices"
	"time"
)

// slotCount is the number of time slots that a window is divided into.
const slotCount = 64

// window counts usage over a sliding span of time, in slots that expire as a whole.
type window struct {
	span time.Duration
	// origin is the time from which slots are numbered.
	origin time.Time
	slots  [slotCount]Amount
	// newest is the number of the latest slot.
	newest int
	sum    Amount
	// inForce is the current limit, limits the lowest one in force during each slot; zero if none is known.
	inForce Amount
	limits  [slotCount]Amount
	// lowered means that some slot had a higher limit.
	lowered bool
}

// setLimit sets the limit in force from now on.
func (w *window) setLimit(now time.Time, limit Amount) {
	w.advance(now)
	w.inForce = limit
	if current := &w.limits[w.index(w.newest)]; *current == 0 || limit < *current {
		*current = limit
	}
	w.lowered = slices.ContainsFunc(w.limits[:], func(l Amount) bool { return l > limit })
}

func (w *window) slotLength() time.Duration {
	return w.span / (slotCount - 1)
}

// advance clears the slots that lie entirely before the window.
func (w *window) advance(now time.Time) {
	current := w.slotAt(now)
	if current-w.newest >= slotCount {
		w.newest, w.sum, w.slots = current, 0, [slotCount]Amount{}
		w.lowered = false
		for i := range w.limits {
			w.limits[i] = w.inForce
		}
	}
	for w.newest < current {
		w.newest++
		slot := w.slot(w.newest)
		w.sum -= *slot
		*slot = 0
		w.limits[w.index(w.newest)] = w.inForce
	}
}

// slot returns the slot with the number, which may be up to slotCount-1 below the newest.
func (w *window) slot(n int) *Amount {
	return &w.slots[w.index(n)]
}

func (w *window) index(n int) int {
	return ((n % slotCount) + slotCount) % slotCount
}

// counted returns what the slot with the number counts against the limit in force: usage that a higher limit allowed takes the
// same part of a lower one.
func (w *window) counted(n int) Amount {
	if then := w.limits[w.index(n)]; then > w.inForce {
		return *w.slot(n) * w.inForce / then
	}
	return *w.slot(n)
}

// add counts an amount that was used at the time; what lies before the window counts in its oldest slot.
func (w *window) add(now, at time.Time, amount Amount) {
	w.advance(now)
	*w.slot(w.clamp(w.slotAt(at))) += amount
	w.sum += amount
}

// addSince counts an amount that was used at an even pace since the time; what may lie before the window counts in it.
func (w *window) addSince(since, now time.Time, amount Amount) {
	w.advance(now)
	first := w.clamp(w.slotAt(since))
	share := amount / Amount(w.newest-first+1)
	for n := first; n <= w.newest; n++ {
		*w.slot(n) += share
	}
	w.sum += amount
}

// addLike counts an amount that was used since the time, at the same times as what the other window has counted since then.
func (w *window) addLike(other *window, since, now time.Time, amount Amount) {
	w.advance(now)
	other.advance(now)
	first := w.clamp(w.slotAt(since))
	total := Amount(0)
	for n := first; n <= w.newest; n++ {
		total += max(0, *other.slot(n))
	}
	if total <= 0 {
		w.addSince(since, now, amount)
		return
	}
	for n := first; n <= w.newest; n++ {
		*w.slot(n) += amount * max(0, *other.slot(n)) / total
	}
	w.sum += amount
}

// clamp returns the number of the slot of the window that is closest to the one with the number.
func (w *window) clamp(n int) int {
	return min(max(n, w.newest-slotCount+2), w.newest)
}

// slotAt returns the number of the slot of the time.
func (w *window) slotAt(at time.Time) int {
	passed, length := at.Sub(w.origin), w.slotLength()
	if passed < 0 {
		return int((passed+1)/length) - 1
	}
	return int(passed / length)
}

// startOf returns when the slot with the number begins.
func (w *window) startOf(n int) time.Time {
	return w.origin.Add(time.Duration(n) * w.slotLength())
}

// used returns the usage in the window that counts against the limit in force.
func (w *window) used(now time.Time) Amount {
	w.advance(now)
	if !w.lowered {
		return w.sum
	}
	sum := Amount(0)
	for n := range slotCount {
		sum += w.counted(w.newest - n)
	}
	return sum
}

// expiring returns the usage in the slots that the next steps of the window leave behind; the window must be up to date.
func (w *window) expiring(steps int) Amount {
	sum := Amount(0)
	for n := range min(steps, slotCount) {
		sum += w.counted(w.newest - slotCount + 1 + n)
	}
	return sum
}
