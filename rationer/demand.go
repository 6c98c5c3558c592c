package rationer

import "time"

// Rank orders the requests of an organisation by urgency, 0 the most urgent.
type Rank int

const (
	// reserveTime is the time for which room is left to more urgent requests: several times the age of the hosts' reports, so
	// that those find room also while less urgent ones use all that becomes free.
	reserveTime = 400 * time.Millisecond
	// maxAskedRatio bounds how many times as much as this host admits the more urgent requests are taken to ask for.
	maxAskedRatio = 2
)

// demand is what an organisation has asked of this host lately; the zero value is empty.
type demand struct {
	admitted decayingSum
	byRank   map[Rank]*rankDemand
}

type rankDemand struct {
	count   decayingSum
	amounts decayingSum
}

func (d *demand) add(now time.Time, rank Rank, amount Amount) {
	if d.byRank == nil {
		d.byRank = map[Rank]*rankDemand{}
	}
	asked, ok := d.byRank[rank]
	if !ok {
		asked = &rankDemand{}
		d.byRank[rank] = asked
	}
	asked.count.add(now, 1)
	asked.amounts.add(now, float64(amount))
}

// reserve returns the amount that a request leaves to more urgent ones on all hosts, given the rate of all usage: what they ask
// for in reserveTime, if it is to what is admitted as on this host. A small request leaves less, as it delays them less.
func (d *demand) reserve(now time.Time, rank Rank, amount, rate Amount) Amount {
	count, amounts := 0.0, 0.0
	for other, asked := range d.byRank {
		if other < rank {
			count += asked.count.decayed(now)
			amounts += asked.amounts.decayed(now)
		}
	}
	if amounts <= 0 {
		return 0
	}
	ratio := min(amounts/max(d.admitted.decayed(now), 1), maxAskedRatio)
	mean := amounts / count
	return rate * Amount(ratio*reserveTime.Seconds()*min(float64(amount)/mean, 1))
}
