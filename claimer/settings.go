package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Settings configure the claimer; each zero value is replaced by its default.
type Settings struct {
	// Lease is how long a host may dispatch after it sent its last renewal that took effect; 10 min.
	Lease time.Duration
	// LeaseGuard is subtracted from the lease by its holder; 5 s.
	LeaseGuard time.Duration
	// ClockDrift is the largest difference in speed between two hosts' clocks; 0.01.
	ClockDrift float64
	// ClockError is the largest difference between the creation time in a key and the log's clock; 5 s.
	ClockError time.Duration
	// ArrivalError is the largest difference between two entry hosts' clocks; 500 ms.
	ArrivalError time.Duration
	// KeyLifetime is how long a key is remembered; 15 min.
	KeyLifetime time.Duration
	// GroupInterval is the minimum time between two appends of claims, which are batched meanwhile; 20 ms.
	GroupInterval time.Duration
	// Patience is how long a claim of each kind waits for the log before it may be granted from memory; 300 ms, 1 s and 2 s.
	Patience [dotterelpulley.KindBooking + 1]time.Duration
	// HoldLimit is how long a request waits for its range to become ready; 5 s.
	HoldLimit time.Duration
	// Linger is how long an ended run's answer is kept for resends; 1 min.
	Linger time.Duration
	// PauseLimit is the gap between two events that counts as a pause; 5 s.
	PauseLimit time.Duration
	// AskTimeout is how long to wait for the answers of other hosts; 1 s.
	AskTimeout time.Duration
	// GoneLimit is how long a host must be missing from the host list to count as gone; 3 s.
	GoneLimit time.Duration
	// SnapshotEvery is the number of roster records after which a snapshot is appended; 1000.
	SnapshotEvery int
}

var defaults = Settings{
	Lease:         10 * time.Minute,
	LeaseGuard:    5 * time.Second,
	ClockDrift:    0.01,
	ClockError:    5 * time.Second,
	ArrivalError:  500 * time.Millisecond,
	KeyLifetime:   15 * time.Minute,
	GroupInterval: 20 * time.Millisecond,
	Patience:      [...]time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second},
	HoldLimit:     5 * time.Second,
	Linger:        time.Minute,
	PauseLimit:    5 * time.Second,
	AskTimeout:    time.Second,
	GoneLimit:     3 * time.Second,
	SnapshotEvery: 1000,
}

// WithDefaults returns the settings with each zero value replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDuration(&s.Lease, defaults.Lease)
	setDuration(&s.LeaseGuard, defaults.LeaseGuard)
	setDuration(&s.ClockError, defaults.ClockError)
	setDuration(&s.ArrivalError, defaults.ArrivalError)
	setDuration(&s.KeyLifetime, defaults.KeyLifetime)
	setDuration(&s.GroupInterval, defaults.GroupInterval)
	setDuration(&s.HoldLimit, defaults.HoldLimit)
	setDuration(&s.Linger, defaults.Linger)
	setDuration(&s.PauseLimit, defaults.PauseLimit)
	setDuration(&s.AskTimeout, defaults.AskTimeout)
	setDuration(&s.GoneLimit, defaults.GoneLimit)
	for kind := range s.Patience {
		setDuration(&s.Patience[kind], defaults.Patience[kind])
	}
	if s.ClockDrift == 0 {
		s.ClockDrift = defaults.ClockDrift
	}
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = defaults.SnapshotEvery
	}
	return s
}

func setDuration(have *time.Duration, def time.Duration) {
	if *have == 0 {
		*have = def
	}
}

// RenewEvery is the interval between two renewals of the lease.
func (s Settings) RenewEvery() time.Duration {
	const renewalsPerLease = 10
	return s.Lease / renewalsPerLease
}
