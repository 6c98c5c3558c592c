package promoter

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
)

// rolloutAssessor takes a good version back sooner than the assessor of moves does, as it has less time and a bad version does
// more harm than a late one.
var rolloutAssessor = assessor.Assessor{FalseAlarmRate: 0.005, SlowRate: 0.04, RouteRequests: 8, SlowBuckets: 4, Assurance: 0.25}

// Sample is what a request showed of the version that it ran on.
type Sample struct {
	assessor.Sample
	Service dotterelpulley.ServiceID
	Version dotterelpulley.VersionID
	// PlacedAt is when the request was placed; zero if that isn't known.
	PlacedAt time.Time
}

// Observe counts a sample of this host. All versions but the target count as one, with which the target is compared.
func (p *Promoter) Observe(now time.Time, s Sample) {
	e := p.evidenceOf(now, s.Service)
	version := dotterelpulley.VersionID("")
	if s.Version != "" && s.Version == e.Exposure.New {
		if r := p.rollouts[s.Service]; r != nil && !s.PlacedAt.IsZero() && s.PlacedAt.Before(r.seenAt) {
			// An earlier order for the same version sent it there.
			return
		}
		version = s.Version
	}
	e.Add(version, s.Sample, now)
}

// evidenceOf returns this host's evidence on the service: against the target of an unfinished roll-out, or as a reference for
// the next one.
func (p *Promoter) evidenceOf(now time.Time, service dotterelpulley.ServiceID) *assessor.Evidence {
	if p.evidence == nil {
		p.evidence = map[dotterelpulley.ServiceID]*assessor.Evidence{}
	}
	e := p.evidence[service]
	if e == nil {
		e = &assessor.Evidence{}
		p.evidence[service] = e
	}
	if r := p.rollouts[service]; r != nil && !r.stage.final() {
		e.BeginExposure(assessor.Exposure{Service: service, Step: 1, New: r.Target}, now)
	} else {
		e.BeginReference(service, "", now)
	}
	return e
}

// Evidence returns copies of this host's evidence on unfinished roll-outs.
func (p *Promoter) Evidence(now time.Time) []*assessor.Evidence {
	var all []*assessor.Evidence
	for _, c := range p.Unfinished() {
		e := p.evidenceOf(now, c.Service)
		e.Refresh(now)
		copied := &assessor.Evidence{Exposure: e.Exposure, Order: assessor.Order(c.Number), StartedAt: e.StartedAt}
		copied.Merge(e)
		all = append(all, copied)
	}
	return all
}

// isOfOtherOrder reports whether the evidence belongs to another order than the service's newest one, for the same target. Orders of
// different eras may be copies of each other.
func (p *Promoter) isOfOtherOrder(e *assessor.Evidence) bool {
	r := p.rollouts[e.Exposure.Service]
	return r != nil && e.Order != (assessor.Order{}) && e.Order.Era == r.Number.Era && e.Order.Next != r.Number.Next
}

// Prove assesses the sum of the evidence of several hosts.
func (p *Promoter) Prove(now time.Time, service dotterelpulley.ServiceID, reports [][]*assessor.Evidence) Proof {
	own := p.evidenceOf(now, service)
	merged := &assessor.Evidence{Exposure: own.Exposure, StartedAt: own.StartedAt}
	proof := Proof{}
	for _, report := range reports {
		for _, e := range report {
			if e.Exposure != own.Exposure || p.isOfOtherOrder(e) {
				continue
			}
			// The clocks of other hosts may differ.
			e.StartedAt = own.StartedAt
			merged.Merge(e)
			proof.Reports++
		}
	}
	requests := 0
	for cell, e := range merged.Cells {
		n := e.Step.Old.Requests + e.Step.New.Requests
		if requests += n; n == 0 {
			// A route that nobody uses any more needs no proof.
			delete(merged.Cells, cell)
		}
	}
	proof.Hosts = max(p.Settings.Hosts, proof.Reports)
	proof.Assessment = rolloutAssessor.Assess(merged, now)
	proof.Rate = float64(requests) / max(now.Sub(own.StartedAt).Seconds(), 1)
	return proof
}
