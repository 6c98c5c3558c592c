package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// takeoverMargin is how long after the end of a lease another host waits before claiming it.
	takeoverMargin = time.Second
	// renewalsPerLease is how often the holder renews the lease within its duration.
	renewalsPerLease = 3
	// freshRead is the maximum age of the last read to the log's end for the view of the log to count as current.
	freshRead = 1500 * time.Millisecond
)

// lease is one host's view of the right to advance moves.
type lease struct {
	// fence is the fence of this host's claim, 0 without one.
	fence appender.Offset
	// until is the end of this host's lease by its own clock, counted from before the append was sent.
	until   time.Time
	renewed time.Time
	// seen is the newest claim or renewal of any host, and changed is when this host first read it.
	seen    appender.Offset
	changed time.Time
	read    time.Time
}

// observe updates the lease from the log.
func (l *lease) observe(now time.Time, view *View) {
	newest := view.Moves.Lease.Newest
	gap := view.CaughtUp.Sub(l.read) > freshRead
	if newest != l.seen || gap || l.changed.IsZero() {
		l.seen = newest
		l.changed = now
	}
	l.read = view.CaughtUp
}

// leading reports whether the newest claim that this host knows of is its own, expired or not.
func (l *lease) leading(view *View) bool {
	return l.fence != 0 && l.fence == view.Moves.Lease.Fence && !view.Moves.Lease.Released
}

func (l *lease) active(now time.Time, view *View) bool {
	return l.leading(view) && now.Before(l.until)
}

// next returns a record that claims or renews the lease, and whether it is due.
func (l *lease) next(now time.Time, view *View, host dotterelpulley.HostID, duration time.Duration) (recorder.Body, bool) {
	if now.Sub(view.CaughtUp) > freshRead {
		return nil, false
	}
	if l.leading(view) {
		due := l.renewed.Add(duration / renewalsPerLease)
		return recorder.Renewal{Fence: l.fence}, !now.Before(due)
	}
	current := view.Moves.Lease
	free := current.Fence == 0 || current.Released
	lapsed := now.Sub(l.changed) > current.Duration+takeoverMargin
	claim := recorder.Claim{Holder: host, Duration: duration, After: current.Fence}
	return claim, free || lapsed
}

// won records that the log accepted this host's claim or renewal, which was sent at the given time.
func (l *lease) won(body recorder.Body, at appender.Offset, sent time.Time, duration time.Duration) {
	switch body.(type) {
	case recorder.Claim:
		l.fence = at
	case recorder.Renewal:
	default:
		return
	}
	l.renewed = sent
	l.until = sent.Add(duration)
}
