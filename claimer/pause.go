package claimer

import "time"

const (
	// maxIdle exceeds the time between two ticks of a running host.
	maxIdle         = 700 * time.Millisecond
	maxUnnoticedGap = 50 * time.Millisecond
	// The windows are how long after a pause a request that is read then may have arrived during it.
	longPauseWindow  = time.Second
	shortPauseWindow = 100 * time.Millisecond
)

// pauseTracker tracks how long ago a request may have reached a host that was paused.
type pauseTracker struct {
	start time.Time
	until time.Time
}

// observe records that nothing was processed between last and the end of the gap.
func (p *pauseTracker) observe(last time.Time, gap time.Duration) {
	if gap <= maxUnnoticedGap {
		return
	}
	now := last.Add(gap)
	active := now.Before(p.until)
	if !active {
		p.start = last
		p.until = now.Add(shortPauseWindow)
	}
	if gap > maxIdle {
		p.until = now.Add(longPauseWindow)
	}
}

// arrival returns the earliest time at which a request that is read now may have arrived.
func (p *pauseTracker) arrival(read, now time.Time) time.Time {
	if now.Before(p.until) && p.start.Before(read) {
		return p.start
	}
	return read
}
