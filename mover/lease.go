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
	// maxReadAge is the maximum age of the last read to the log's end for the view of the log to count as current.
	maxReadAge = 1500 * time.Millisecond
)

// lease is one host's view of the right to advance moves.
type lease struct {
	// fence is the fence of this host's claim, 0 without one.
	fence appender.Offset
	// until is the end of this host's lease by its own clock, counted from before the append was sent.
	until     time.Time
	renewedAt time.Time
	// newestSeen is the newest claim or renewal of any host, and newestSeenAt is when this host first read it.
	newestSeen   appender.Offset
	newestSeenAt time.Time
	lastRead     time.Time
}

// observe updates the lease from the log.
func (l *lease) observe(now time.Time, view *View) {
	newest := view.Moves.Lease.LastRenewal
	gap := view.CaughtUp.Sub(l.lastRead) > maxReadAge
	if newest != l.newestSeen || gap || l.newestSeenAt.IsZero() {
		l.newestSeen = newest
		l.newestSeenAt = now
	}
	l.lastRead = view.CaughtUp
}

// leading reports whether the newest claim that this host knows of is its own, expired or not.
func (l *lease) leading(view *View) bool {
	return l.fence != 0 && l.fence == view.Moves.Lease.Fence && !view.Moves.Lease.Released
}

func (l *lease) active(now time.Time, view *View) bool {
	return l.leading(view) && now.Before(l.until)
}

// dueRecord returns a record that claims or renews the lease, and whether it is due.
func (l *lease) dueRecord(now time.Time, view *View, host dotterelpulley.HostID, duration time.Duration) (recorder.Body, bool) {
	if now.Sub(view.CaughtUp) > maxReadAge {
		return nil, false
	}
	if l.leading(view) {
		due := l.renewedAt.Add(duration / renewalsPerLease)
		return recorder.Renewal{Fence: l.fence}, !now.Before(due)
	}
	current := view.Moves.Lease
	unclaimed := current.Fence == 0 || current.Released
	expired := now.Sub(l.newestSeenAt) > current.Duration+takeoverMargin
	claim := recorder.Claim{Holder: host, Duration: duration, PreviousFence: current.Fence}
	return claim, unclaimed || expired
}

// accepted records that the log accepted this host's claim or renewal, which was sent at the given time.
func (l *lease) accepted(body recorder.Body, at appender.Offset, sentAt time.Time, duration time.Duration) {
	switch body.(type) {
	case recorder.Claim:
		l.fence = at
	case recorder.Renewal:
	default:
		return
	}
	l.renewedAt = sentAt
	l.until = sentAt.Add(duration)
}
