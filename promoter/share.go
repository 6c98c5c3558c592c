package promoter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

// ForTarget decides whether the next request of the service is for the target. The target's part of the requests on this
// host stays within the limit of the stage, and with that within the limit over all hosts.
func (p *Promoter) ForTarget(now time.Time, service dotterelpulley.ServiceID, route dotterelpulley.RouteID) bool {
	r := p.rollouts[service]
	if r == nil || !r.stage.running() || !now.Before(r.deadline) {
		return false
	}
	r.split.SetLimit(splitter.Limit{First: "", Second: r.Target, Fraction: p.fraction(r), Credit: p.credit(now, r)})
	if r.stage == Canary && !r.balanced(route) || !r.split.Take() {
		return false
	}
	r.perRoute[route]++
	return true
}

// Sent counts a request that is sent to an endpoint. What is refused or leaves the queue gives the target no share.
func (p *Promoter) Sent(service dotterelpulley.ServiceID, route dotterelpulley.RouteID) {
	if r := p.rollouts[service]; r != nil && r.stage.running() {
		r.divided++
		r.perRoute[route] += 0
		r.split.Count()
	}
}

// balanced reports whether the route has not had more of the target than the others, so that each is covered. What a rare route
// leaves over goes to the others.
func (r *rollout) balanced(route dotterelpulley.RouteID) bool {
	fewest := r.perRoute[route]
	r.perRoute[route] = fewest
	for _, n := range r.perRoute {
		fewest = min(fewest, n)
	}
	return r.perRoute[route] <= fewest+1 || r.split.Spare() >= 2
}

func (p *Promoter) fraction(r *rollout) float64 {
	if r.stage == Full {
		return budgetFraction * p.Settings.Share
	}
	return canaryFraction * p.Settings.Share
}

// credit returns the number of requests beyond the fraction. A canary gets it little by little, as a burst would show the
// target under more load than the old version has, and as other processes of this host may have used theirs before it started.
// In the last stage it leaves room for the requests between the completion and the deadline.
func (p *Promoter) credit(now time.Time, r *rollout) float64 {
	slack := p.Settings.Slack / float64(max(p.Settings.Hosts, 1))
	if r.stage != Full {
		known := now.Sub(r.seenAt).Seconds() / r.Duration.Seconds()
		return canaryCredit * slack * min(known/creditTime, 1)
	}
	if r.late() {
		return 0
	}
	rate := float64(r.divided) / max(now.Sub(r.seenAt).Seconds(), 1)
	return budgetFraction*slack - rate*completionMargin.Seconds()
}

// late reports whether this host heard of the order some time after it was given, as after a restart.
func (r *rollout) late() bool {
	return r.seenAt.Sub(r.deadline.Add(-r.Duration)) > heldTime
}

// fullTime returns how long the target may get all requests before the completion, at the rate over all hosts.
func (p *Promoter) fullTime(r *rollout, rate float64) time.Duration {
	if rate <= 0 {
		return min(maxFullTime, r.Duration/4)
	}
	served := rate * r.Duration.Seconds()
	permitted := budgetFraction * (p.Settings.Share*served + p.Settings.Slack)
	canary := canaryFraction*p.Settings.Share*served + canaryCredit*p.Settings.Slack
	left := permitted - canary - rate*completionMargin.Seconds()
	full := time.Duration(math.Max(left, 0) / rate * float64(time.Second))
	return min(max(full, minFullTime), maxFullTime, r.Duration/4)
}

// Focus returns which of the target's endpoints gets the canary's requests, or none for all of them. Every other turn one
// endpoint gets them all, so that it shows how the version does under load; in between all endpoints get some, as a part of
// them may be bad. All hosts choose alike.
func (p *Promoter) Focus(now time.Time, service dotterelpulley.ServiceID, endpoints []dotterelpulley.EndpointID) dotterelpulley.EndpointID {
	r := p.rollouts[service]
	if r == nil || r.stage != Canary || len(endpoints) == 0 {
		return ""
	}
	turn := int(max(r.Duration-r.deadline.Sub(now), 0) / focusTime)
	if turn%2 == 1 {
		return ""
	}
	order := slices.SortedFunc(slices.Values(endpoints), func(a, b dotterelpulley.EndpointID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return order[turn/2%len(order)]
}
