package claimer

import "time"

const (
	// longestIdle exceeds the time between two ticks of a running host.
	longestIdle = 700 * time.Millisecond
	shortGap    = 50 * time.Millisecond
	wakeTime    = time.Second
	shortWake   = 100 * time.Millisecond
)

// pauseWatch tracks how long ago a request may have reached a host that was paused.
type pauseWatch struct {
	from  time.Time
	until time.Time
}

// step records a gap after the time last in which nothing was processed.
func (p *pauseWatch) step(last time.Time, gap time.Duration) {
	if gap <= shortGap {
		return
	}
	now := last.Add(gap)
	active := now.Before(p.until)
	if !active {
		p.from = last
		p.until = now.Add(shortWake)
	}
	if gap > longestIdle {
		p.until = now.Add(wakeTime)
	}
}

// arrival returns the earliest time at which a request that is read now may have arrived.
func (p *pauseWatch) arrival(read, now time.Time) time.Time {
	if now.Before(p.until) && p.from.Before(read) {
		return p.from
	}
	return read
}
