package gateway

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the system booted, including time spent suspended, which time.Since leaves out.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel; without it no confirmation by the store counts as recent.
		return 0
	}
	return time.Duration(t.Nano())
}

// configurationFreshness is the latest time at which this host was known to have all of the operators' records.
type configurationFreshness struct {
	confirmedAt atomic.Int64
}

// confirm records that this host has all of the operators' records up to the given time since boot.
func (f *configurationFreshness) confirm(confirmedAt time.Duration) {
	for {
		previous := f.confirmedAt.Load()
		if int64(confirmedAt) <= previous || f.confirmedAt.CompareAndSwap(previous, int64(confirmedAt)) {
			return
		}
	}
}

// age returns the time since the last confirmation; ok is false if there was none.
func (f *configurationFreshness) age() (age time.Duration, ok bool) {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	return sinceBoot() - time.Duration(confirmedAt), true
}
