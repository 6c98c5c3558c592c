package rationer

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which the rate of the peers' usage is averaged. It spans several reports of each peer in a
// small fleet, and those of many peers in a large one.
const rateTimeConstant = time.Second

// decayingSum is a sum whose terms count less with time; the zero value is empty.
type decayingSum struct {
	value float64
	at    time.Time
}

// decayed returns the sum as of the time.
func (s *decayingSum) decayed(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-max(now.Sub(s.at).Seconds(), 0)/rateTimeConstant.Seconds())
}

func (s *decayingSum) add(now time.Time, value float64) {
	s.value, s.at = s.decayed(now)+value, now
}

// unreported estimates what peers have used since their last reports: on average as much in a time as those that have
// reported lately, or as much beside this host's own usage as in the window, whichever is more. In a large fleet a single peer's
// reports come too seldom to tell its own rate; and they tell nothing of room that all hosts find at the same moment, as when a
// surge leaves the window.
type unreported struct {
	// peerTime is the sum of the ages of all peers' last reports.
	peerTime time.Duration
	// reportedTime is the sum of the times that recent reports cover, in seconds.
	reportedTime float64
	// age is the mean age of what the peers have reported.
	age time.Duration
}

// usage returns the organisation's estimated usage on the peers.
func (u unreported) usage(now time.Time, a *account) Amount {
	byRate := Amount(0)
	if u.reportedTime > 0 {
		byRate = Amount(max(a.reported.decayed(now), 0) / u.reportedTime * u.peerTime.Seconds())
	}
	return max(byRate, a.besideOwn(now, u.age))
}

// besideOwn returns what peers have used since the time before now if their usage has kept its ratio to this host's own. The last
// admitted request doesn't count, as a single one tells no rate.
func (a *account) besideOwn(now time.Time, since time.Duration) Amount {
	a.own.advance(now)
	if a.own.sum <= 0 {
		return 0
	}
	a.advance(now)
	others := a.sum - a.own.sum
	return max(0, others/a.own.sum*(a.own.usedWithin(now, since)-a.lastAdmitted))
}
