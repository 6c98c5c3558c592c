package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Allowance is this host's share of what an endpoint takes from all hosts together; the zero value sets no limit.
type Allowance struct {
	// RateLimited means that at most PerSecond requests a second may be placed on the endpoint.
	RateLimited bool
	PerSecond   float64
	// PlacesLimited means that at most Places requests may run on the endpoint at a time.
	PlacesLimited bool
	Places        int
}

const (
	// savingTime is the time for which unused rate is saved up, if that is more than one request.
	savingTime = 250 * time.Millisecond
	// placesDelay is the time after which places that this host gains count, as the host that had them learns of it later and
	// its requests go on.
	placesDelay = time.Second
)

// allowanceState is the allowance of an endpoint with its use.
type allowanceState struct {
	Allowance
	// permits is the number of requests that may be placed at once, as of permitsAt.
	permits   float64
	permitsAt time.Time
	// placesBefore applies until placesAt.
	placesBefore int
	placesAt     time.Time
}

// SetAllowances replaces the allowances of the service's endpoints; those that aren't named have none.
func (s *Scheduler) SetAllowances(now time.Time, id dotterelpulley.ServiceID, allowances map[dotterelpulley.EndpointID]Allowance) {
	for _, e := range s.service(id).sorted {
		e.allowance.set(now, allowances[e.ID])
	}
}

func (a *allowanceState) set(now time.Time, next Allowance) {
	if a.Allowance == next {
		return
	}
	a.refill(now)
	if !a.RateLimited {
		a.permits = 0
	}
	if next.PlacesLimited && a.PlacesLimited {
		a.placesBefore, a.placesAt = min(a.places(now), next.Places), now.Add(placesDelay)
	}
	a.Allowance = next
	a.permits = min(a.permits, a.savable())
}

// savable returns the number of permits that can be saved up.
func (a *allowanceState) savable() float64 {
	if a.PerSecond <= 0 {
		return 0
	}
	return max(a.PerSecond*savingTime.Seconds(), 1)
}

func (a *allowanceState) refill(now time.Time) {
	passed := max(now.Sub(a.permitsAt).Seconds(), 0)
	a.permitsAt = now
	a.permits = min(a.permits+passed*a.PerSecond, a.savable())
}

func (a *allowanceState) places(now time.Time) int {
	if now.Before(a.placesAt) {
		return a.placesBefore
	}
	return a.Places
}

// admits reports whether the host may place one more request beside those that it runs.
func (a *allowanceState) admits(now time.Time, running int) bool {
	if a.PlacesLimited && running >= a.places(now) {
		return false
	}
	if !a.RateLimited {
		return true
	}
	a.refill(now)
	return a.permits >= 1
}

// use records the placement of a request.
func (a *allowanceState) use(now time.Time) {
	if a.RateLimited {
		a.refill(now)
		a.permits--
	}
}
