package admitter

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// speedWeight is the weight of one finished run in the moving average of the speed.
	speedWeight = 0.05
	// demandWindow is the time constant of the demand that is expected until a deadline within farDeadline.
	demandWindow = 10 * time.Second
	// longDemandWindow is the time constant of the demand that is expected until a deadline
	// beyond farDeadline, as such a request can wait for a short overload to pass.
	longDemandWindow = 5 * time.Minute
	farDeadline      = 90 * time.Second
	// peakHalfLife is the time in which the recorded peak of a tier decays to half.
	peakHalfLife = 30 * time.Second
	// runMargin is the factor applied to the mean run time as a safety margin.
	runMargin = 1.3
	// minFreeShare is the fraction of a service's rate that is assumed free for a tier whatever the demand of higher tiers.
	minFreeShare = 0.02
	// minReserve and maxReserve bound the fraction of slots that a lower tier leaves free.
	minReserve = 0.1
	maxReserve = 0.5
)

// tierDemand is the demand of one tier for a service.
type tierDemand struct {
	running int
	waiting int
	peak    float64
	peakAt  time.Time
	short   rate
	long    rate
}

// rate is an exponentially decayed cost per second.
type rate struct {
	perSecond float64
	at        time.Time
}

func (r *rate) add(now time.Time, cost Cost, timeConstant time.Duration) {
	r.perSecond = r.value(now, timeConstant) + float64(cost)/timeConstant.Seconds()
	r.at = now
}

func (r *rate) value(now time.Time, timeConstant time.Duration) float64 {
	return decay(r.perSecond, now.Sub(r.at), timeConstant)
}

func decay(value float64, elapsed, timeConstant time.Duration) float64 {
	return value * math.Exp(-float64(elapsed)/float64(timeConstant))
}

func (d *tierDemand) updatePeak(now time.Time) {
	d.peak = max(d.currentPeak(now), float64(d.running+d.waiting))
	d.peakAt = now
}

func (d *tierDemand) currentPeak(now time.Time) float64 {
	return d.peak * math.Exp2(-float64(now.Sub(d.peakAt))/float64(peakHalfLife))
}

func (d *tierDemand) addCost(now time.Time, cost Cost) {
	d.short.add(now, cost, demandWindow)
	d.long.add(now, cost, longDemandWindow)
}

// costRate returns the demand to expect over the time left to a deadline.
func (d *tierDemand) costRate(now time.Time, timeLeft time.Duration) float64 {
	if timeLeft > farDeadline {
		return d.long.value(now, longDemandWindow)
	}
	return d.short.value(now, demandWindow)
}

// estimate tracks a service's speed and the demand of its tiers.
type estimate struct {
	// speed is the average cost per second of one run.
	speed      float64
	slots      float64
	maxRunning int
	demand     [dotterelpulley.TierCount]tierDemand
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
	return float64(max(s.maxRunning, 1))
}

// runTime returns the estimated duration of a run of the cost; zero without a measurement.
func (s *estimate) runTime(cost Cost) time.Duration {
	if s.speed == 0 {
		return 0
	}
	return time.Duration(runMargin * float64(cost) / s.speed * float64(time.Second))
}

// waitTime returns the estimated time until the work ahead of a request has started.
func (s *estimate) waitTime(now time.Time, r Request, ahead Cost) time.Duration {
	if s.speed == 0 || ahead <= 0 {
		return 0
	}
	rate := s.speed * s.capacity()
	free := rate
	for higher := dotterelpulley.TierUrgent; higher < r.Tier; higher++ {
		free -= s.demand[higher].costRate(now, r.Deadline.Sub(now))
	}
	free = max(free, rate*minFreeShare)
	return time.Duration(float64(ahead) / free * float64(time.Second))
}

// reserve returns the fraction of slots that the tier leaves free for the tiers above it.
func (s *estimate) reserve(now time.Time, tier dotterelpulley.Tier) float64 {
	if tier == dotterelpulley.TierUrgent {
		return 0
	}
	unused := 0.0
	for higher := dotterelpulley.TierUrgent; higher < tier; higher++ {
		d := &s.demand[higher]
		peak := d.currentPeak(now)
		unused += max(0, peak+math.Sqrt(peak)-float64(d.running))
	}
	share := unused / s.capacity()
	floor := minReserve * float64(tier) / float64(dotterelpulley.TierBackground)
	return min(max(share, floor), maxReserve)
}
