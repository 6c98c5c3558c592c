package admitter

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// speedWeight is the weight of one finished run in the mean speed.
	speedWeight = 0.05
	// demandWindow is the time constant of the demand that counts against urgent deadlines.
	demandWindow = 10 * time.Second
	// longDemandWindow is the time constant of the demand that counts against deadlines
	// longer than farDeadline, which can wait for a short overload to pass.
	longDemandWindow = 5 * time.Minute
	farDeadline      = 90 * time.Second
	// peakHalfLife is the time in which a remembered peak of a tier halves.
	peakHalfLife = 30 * time.Second
	// runMargin is how much longer than the mean a run is allowed to take.
	runMargin = 1.3
	// leastFreeShare of a service's rate is taken to remain for a tier at any demand above it.
	leastFreeShare = 0.02
	// leastReserve and mostReserve bound the share of slots that a lower tier leaves free.
	leastReserve = 0.1
	mostReserve  = 0.5
)

// tierDemand is how much of a service a tier uses.
type tierDemand struct {
	running int
	waiting int
	peak    float64
	peakAt  time.Time
	short   rate
	long    rate
}

// rate is a cost per second over a time constant.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, cost Cost, constant time.Duration) {
	r.perSecond = r.value(now, constant) + float64(cost)/constant.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time, constant time.Duration) float64 {
	return decay(r.perSecond, now.Sub(r.at), constant)
}

func decay(value float64, elapsed, constant time.Duration) float64 {
	return value * math.Exp(-float64(elapsed)/float64(constant))
}

func (d *tierDemand) notePeak(now time.Time) {
	d.peak = max(d.peakNow(now), float64(d.running+d.waiting))
	d.peakAt = now
}

func (d *tierDemand) peakNow(now time.Time) float64 {
	return d.peak * math.Exp2(-float64(now.Sub(d.peakAt))/float64(peakHalfLife))
}

func (d *tierDemand) addCost(now time.Time, cost Cost) {
	d.short.add(now, cost, demandWindow)
	d.long.add(now, cost, longDemandWindow)
}

// costRate returns the demand that has to be expected until a deadline that far away.
func (d *tierDemand) costRate(now time.Time, patience time.Duration) float64 {
	if patience > farDeadline {
		return d.long.value(now, longDemandWindow)
	}
	return d.short.value(now, demandWindow)
}

// estimate learns a service's speed and its tiers' demand.
type estimate struct {
	// speed is the cost per second of one run.
	speed  float64
	slots  float64
	most   int
	demand [dotterelpulley.TierCount]tierDemand
}

func (s *estimate) observe(cost Cost, elapsed time.Duration) {
	if elapsed <= 0 || cost <= 0 {
		return
	}
	speed := float64(cost) / elapsed.Seconds()
	if s.speed == 0 {
		s.speed = speed
		return
	}
	s.speed += speedWeight * (speed - s.speed)
}

func (s *estimate) running() int {
	total := 0
	for i := range s.demand {
		total += s.demand[i].running
	}
	return total
}

func (s *estimate) capacity() float64 {
	if s.slots > 0 {
		return s.slots
	}
	return float64(max(s.most, 1))
}

// runTime returns how long a run of the cost takes; zero while nothing is known.
func (s *estimate) runTime(cost Cost) time.Duration {
	if s.speed == 0 {
		return 0
	}
	return time.Duration(runMargin * float64(cost) / s.speed * float64(time.Second))
}

// waitTime returns how long the work ahead of a request takes to start.
func (s *estimate) waitTime(now time.Time, w Request, ahead Cost) time.Duration {
	if s.speed == 0 || ahead <= 0 {
		return 0
	}
	rate := s.speed * s.capacity()
	free := rate
	for higher := dotterelpulley.TierUrgent; higher < w.Tier; higher++ {
		free -= s.demand[higher].costRate(now, w.Deadline.Sub(now))
	}
	free = max(free, rate*leastFreeShare)
	return time.Duration(float64(ahead) / free * float64(time.Second))
}

// reserve returns the share of slots that the tier leaves free for the tiers above it.
func (s *estimate) reserve(now time.Time, tier dotterelpulley.Tier) float64 {
	if tier == dotterelpulley.TierUrgent {
		return 0
	}
	unused := 0.0
	for higher := dotterelpulley.TierUrgent; higher < tier; higher++ {
		d := &s.demand[higher]
		peak := d.peakNow(now)
		unused += max(0, peak+math.Sqrt(peak)-float64(d.running))
	}
	share := unused / s.capacity()
	floor := leastReserve * float64(tier) / float64(dotterelpulley.TierBackground)
	return min(max(share, floor), mostReserve)
}
