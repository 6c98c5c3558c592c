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
	// reportedTime is the sum of the times that recent reports cover, in seconds.
	reportedTime float64
	// unheard is the number of peers that haven't reported since each slot of the window, the latest first.
	unheard unheardSlots
	// peers is the number of peers.
	peers int
}

// unheardSlots counts, for each slot of a window, the peers that have told nothing of it yet; those that have told a part of it
// count in part.
type unheardSlots [slotCount]float64

// add counts a peer whose last report is as old as the age. phase is the time that has passed in the latest slot.
func (u *unheardSlots) add(age, phase, slot time.Duration) {
	length := phase
	for n := range u {
		if age <= 0 {
			return
		}
		if length > 0 {
			u[n] += min(1, age.Seconds()/length.Seconds())
		}
		age -= length
		length = slot
	}
}

// estimate is an estimate of usage in each slot of a window, the latest first.
type estimate [slotCount]Amount

func (e *estimate) sum() Amount {
	sum := Amount(0)
	for _, amount := range e {
		sum += amount
	}
	return sum
}

// usage returns the organisation's estimated usage on the peers.
func (u *unreported) usage(now time.Time, a *account) *estimate {
	byRate, besideOwn := u.byRate(now, a), a.besideOwn(now, u)
	// All hosts may have found room at the same moment since a time; before that, the rate tells more.
	latest, more, most := 0, Amount(0), Amount(0)
	for n := range byRate {
		if more += besideOwn[n] - byRate[n]; more > most {
			latest, most = n+1, more
		}
	}
	copy(byRate[:latest], besideOwn[:latest])
	return &byRate
}

// byRate returns what peers have used since their last reports if that is as much as those that have reported lately.
func (u *unreported) byRate(now time.Time, a *account) (e estimate) {
	if u.reportedTime <= 0 {
		return e
	}
	a.advance(now)
	rate := max(a.reported.decayed(now), 0) / u.reportedTime
	length := now.Sub(a.startOf(a.newest))
	for n, peers := range u.unheard {
		e[n] = Amount(rate * peers * length.Seconds())
		length = a.slotLength()
	}
	return e
}

// besideOwn returns what peers have used since their last reports if their usage has kept its ratio to this host's own. The last
// admitted request doesn't count, as a single one tells no rate.
func (a *account) besideOwn(now time.Time, u *unreported) (e estimate) {
	a.own.advance(now)
	a.advance(now)
	others := a.sum - a.own.sum
	if a.own.sum <= 0 || others <= 0 || u.peers == 0 {
		return e
	}
	count := Amount(u.peers)
	heard := Amount(0)
	for n, peers := range u.unheard {
		heard += *a.own.slot(a.own.newest - n) * (1 - Amount(peers)/count)
	}
	ratio := others / a.own.sum
	if heard > 0 {
		// A little that was heard tells no ratio beyond an equal share.
		ratio = max(ratio, min(others/heard, count))
	}
	ratio /= count
	last := a.lastAdmitted
	for n, peers := range u.unheard {
		own := *a.own.slot(a.own.newest - n)
		without := min(last, max(own, 0))
		last -= without
		e[n] = max(0, (own-without)*ratio*Amount(peers))
	}
	return e
}
