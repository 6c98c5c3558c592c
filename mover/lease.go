package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// takeoverMargin is waited beyond the lease's duration before another host claims it.
	takeoverMargin = time.Second
	// renewalsPerLease is how often the holder renews within one duration.
	renewalsPerLease = 3
	// freshRead is how long ago the log's end may have been read for the log to count as seen.
	freshRead = 1500 * time.Millisecond
)

// lease is one host's view of the right to advance moves.
type lease struct {
	// fence is the fence of the own claim, 0 without one.
	fence appender.Offset
	// until is the end of the own lease by the own clock, counted from before the append was sent.
	until   time.Time
	renewed time.Time
	// seen is the newest claim or renewal of anybody, and changed when this host saw it.
	seen    appender.Offset
	changed time.Time
	read    time.Time
}

// observe notes what the log says of the lease.
func (l *lease) observe(now time.Time, view *View) {
	newest := view.Moves.Lease.Newest
	gap := view.CaughtUp.Sub(l.read) > freshRead
	if newest != l.seen || gap || l.changed.IsZero() {
		l.seen = newest
		l.changed = now
	}
	l.read = view.CaughtUp
}

// leading reports whether the newest claim that this host knows of is its own, lapsed or not.
func (l *lease) leading(view *View) bool {
	return l.fence != 0 && l.fence == view.Moves.Lease.Fence && !view.Moves.Lease.Released
}

func (l *lease) active(now time.Time, view *View) bool {
	return l.leading(view) && now.Before(l.until)
}

// next returns the record that claims or renews the lease when it is time for one.
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

// won notes that the log took an own claim or renewal that was first sent at that time.
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
