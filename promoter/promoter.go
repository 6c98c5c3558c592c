package promoter

import (
	"cmp"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

const (
	// budgetFraction is the fraction of the exposure limit that is used, for requests that are repeated or counted late.
	budgetFraction = 0.9
	// canaryFraction is the fraction of the permitted share that the target gets while it is a canary.
	canaryFraction = 0.45
	// canaryCredit is the fraction of the permitted slack that the target may get beyond that share, so that evidence of each
	// route comes early.
	canaryCredit = 0.3
	// creditTime is the fraction of the order's duration over which a canary gets that part of the slack.
	creditTime = 0.5
	// completionMargin is the time before the deadline at which the roll-out is completed.
	completionMargin = 450 * time.Millisecond
	// minFullTime and maxFullTime bound the time between the last stage and the completion.
	minFullTime = 500 * time.Millisecond
	maxFullTime = 4 * time.Second
	// heldTime is how long the other hosts have to tell the time that is left of an order of unknown age.
	heldTime = 1500 * time.Millisecond
	// maxAgeFraction is the fraction of its duration up to which an order of that age is started.
	maxAgeFraction = 0.25
	// maxDoubtfulRequests is the number of requests from which on a version in doubt is taken back, as it may have given as many
	// bad answers; doubtTime is how long it has to be in doubt.
	maxDoubtfulRequests = 48
	doubtTime           = 2 * time.Second
	// settleTime is the time after a completion in which the other versions' endpoints stop. Those that come later are none of
	// its business.
	settleTime = 30 * time.Second
	// announceTime is the time after an order within which the store may hold the outcome of an earlier one.
	announceTime = 2 * time.Second
	// focusTime is how long the canary's requests go to one of the target's endpoints.
	focusTime = 1500 * time.Millisecond
)

// Settings are the limits on the exposure of a bad version.
type Settings struct {
	// Share and Slack limit the requests of a target over all hosts, to a share of its service's requests plus a number.
	Share float64
	Slack float64
	// Hosts is the number of hosts that divide the slack.
	Hosts int
}

// Promoter holds the roll-outs as one host sees them; the zero value has none.
type Promoter struct {
	Settings Settings

	rollouts map[dotterelpulley.ServiceID]*rollout
	evidence map[dotterelpulley.ServiceID]*assessor.Evidence
}

type rollout struct {
	Order
	// barred is the target of the order before, if that was not completed.
	barred dotterelpulley.VersionID
	// outcome is the record by which the roll-out ended on this host, earlierOutcome that of the order before; zero if unknown.
	outcome        Number
	earlierOutcome Number
	stage          Stage
	reason         string
	// seenAt is when this host heard of the order; deadline is when it goes back without a completion.
	seenAt   time.Time
	deadline time.Time
	// doubtfulSince is since when the version has been in doubt.
	doubtfulSince time.Time
	// stageSince is since when this host has known the stage.
	stageSince time.Time
	// announced means that the store was seen to hold that the roll-out is in progress.
	announced bool
	split     splitter.Splitter
	// divided counts the requests sent since the order, perRoute those for the target.
	divided  int
	perRoute map[dotterelpulley.RouteID]int
}

// Change is a roll-out's new stage.
type Change struct {
	Order
	// Barred is a version that gets no requests beside this roll-out, as it was not proved; empty for none.
	Barred dotterelpulley.VersionID
	Stage  Stage
	Reason string
}

// NeedsEvidence reports whether the hosts' evidence can advance the roll-out.
func (c Change) NeedsEvidence() bool {
	return c.Stage.running()
}

func (r *rollout) change() Change {
	return Change{Order: r.Order, Barred: r.barred, Stage: r.stage, Reason: r.reason}
}

// advance raises the stage and reports whether that is news.
func (r *rollout) advance(now time.Time, s Stage, reason string) bool {
	if s <= r.stage {
		return false
	}
	r.stage, r.reason, r.stageSince = s, reason, now
	return true
}

// ReceiveOrder starts the roll-out of an order from the store. The order was written at most age ago; if that is a large part of
// its duration, it is held until another host tells the time that is left.
func (p *Promoter) ReceiveOrder(now time.Time, o Order, age time.Duration) bool {
	known := p.rollouts[o.Service]
	if known != nil && known.same(o) {
		known.Number = later(known.Number, o.Number)
		return false
	}
	if known != nil && known.Number.Compare(o.Number) > 0 {
		return false
	}
	r := p.start(now, o)
	if age <= time.Duration(maxAgeFraction*float64(o.Duration)) {
		// Most orders come much sooner than their greatest age, and the host that had it first tells the others the deadline.
		r.stage, r.reason, r.deadline = Canary, "ordered", now.Add(o.Duration)
	}
	return true
}

func later(a, b Number) Number {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

func (p *Promoter) start(now time.Time, o Order) *rollout {
	if p.rollouts == nil {
		p.rollouts = map[dotterelpulley.ServiceID]*rollout{}
	}
	r := &rollout{Order: o, reason: "of unknown age", seenAt: now, perRoute: map[dotterelpulley.RouteID]int{}}
	if before := p.rollouts[o.Service]; before != nil {
		r.earlierOutcome = cmp.Or(before.outcome, before.earlierOutcome)
		if before.stage != Completed && before.stage != Held && before.Target != o.Target {
			r.barred = before.Target
		}
	}
	if e := p.evidence[o.Service]; e != nil {
		// What was seen of the target under an earlier order says nothing of this one.
		e.BeginExposure(assessor.Exposure{Service: o.Service}, now)
	}
	p.rollouts[o.Service] = r
	return r
}

// Learn applies another host's fact and reports whether it is news.
func (p *Promoter) Learn(now time.Time, f Fact) (Change, bool) {
	r := p.rollouts[f.Service]
	switch {
	case r == nil, !r.same(f.Order) && r.Number.Compare(f.Number) < 0:
		r = p.start(now, f.Order)
	case !r.same(f.Order):
		return Change{}, false
	}
	r.Number = later(r.Number, f.Number)
	if f.Stage.running() {
		if told := now.Add(f.Remaining); r.deadline.IsZero() || told.Before(r.deadline) {
			r.deadline = told
		}
	}
	advanced := f.Stage <= Completed && r.advance(now, f.Stage, "told by another host")
	return r.change(), advanced
}

// Facts returns what this host knows, by service.
func (p *Promoter) Facts(now time.Time) []Fact {
	var facts []Fact
	for _, service := range p.Services() {
		r := p.rollouts[service]
		f := Fact{Order: r.Order, Stage: r.stage}
		if r.stage.running() {
			f.Remaining = max(r.deadline.Sub(now), 0)
		}
		facts = append(facts, f)
	}
	return facts
}

// Services returns the services with an order.
func (p *Promoter) Services() []dotterelpulley.ServiceID {
	var services []dotterelpulley.ServiceID
	for service := range p.rollouts {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

// Unfinished returns the roll-outs of which the store may lack the outcome.
func (p *Promoter) Unfinished() []Change {
	var changes []Change
	for _, service := range p.Services() {
		if r := p.rollouts[service]; !r.stage.final() {
			changes = append(changes, r.change())
		}
	}
	return changes
}

// Rollout returns the roll-out of the service.
func (p *Promoter) Rollout(service dotterelpulley.ServiceID) (Change, bool) {
	r := p.rollouts[service]
	if r == nil {
		return Change{}, false
	}
	return r.change(), true
}

// Expire takes back what was not completed by its deadline. Each host does so by itself.
func (p *Promoter) Expire(now time.Time) []Change {
	var changes []Change
	for _, service := range p.Services() {
		r := p.rollouts[service]
		if r.stage.running() && !now.Before(r.deadline) && r.advance(now, TakenBack, "not completed by the deadline") {
			changes = append(changes, r.change())
		}
	}
	return changes
}

// Withdraw takes back the service's roll-out if its order came before the withdrawal.
func (p *Promoter) Withdraw(now time.Time, service dotterelpulley.ServiceID, withdrawal Number) (Change, bool) {
	if r := p.rollouts[service]; r == nil || r.Number.Compare(withdrawal) > 0 {
		return Change{}, false
	}
	return p.TakeBack(now, service, "the order was withdrawn")
}

// TakeBack takes the service's roll-out back.
func (p *Promoter) TakeBack(now time.Time, service dotterelpulley.ServiceID, reason string) (Change, bool) {
	r := p.rollouts[service]
	if r == nil || !r.advance(now, TakenBack, reason) {
		return Change{}, false
	}
	return r.change(), true
}

// Settled reports whether the roll-out was completed so long ago that versions no longer matter.
func (p *Promoter) Settled(now time.Time, service dotterelpulley.ServiceID) bool {
	r := p.rollouts[service]
	return r != nil && r.stage == Completed && now.Sub(r.stageSince) >= settleTime
}
