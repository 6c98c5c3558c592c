package promoter

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
)

// Proof is what the acting host has learned of a target.
type Proof struct {
	assessor.Assessment
	// Hosts is the number of hosts that the acting host knows, itself included; Reports is how many of them are in the evidence.
	Hosts   int
	Reports int
	// Rate is the service's requests per second over all hosts.
	Rate float64
	// OthersRun means that endpoints of other versions are known to have run since the acting host learned of them.
	OthersRun bool
}

// isQuorum reports whether no other host can have evidence from as many hosts.
func (f Proof) isQuorum() bool {
	return 2*f.Reports > f.Hosts
}

// Decide advances the roll-out by the evidence, on the acting host. The stages before the outcome need no agreement: their
// limits hold on each host, and a stage back wins over one ahead.
func (p *Promoter) Decide(now time.Time, service dotterelpulley.ServiceID, proof Proof) (Change, bool) {
	r := p.rollouts[service]
	if r == nil {
		return Change{}, false
	}
	if !proof.Doubtful || proof.Requests < maxDoubtfulRequests {
		r.doubtfulSince = now
	}
	advanced := false
	switch {
	case r.stage == Held && now.Sub(r.seenAt) >= heldTime && proof.OthersRun:
		// Without them the store may have lost an outcome on which they were stopped.
		advanced = r.advance(now, TakenBack, "no host knows the time that is left")
	case !r.stage.running():
	case proof.Bad:
		advanced = r.advance(now, TakenBack, proof.Reason)
	case r.stage == Canary && now.Sub(r.doubtfulSince) >= doubtTime && !r.doubtfulSince.IsZero():
		advanced = r.advance(now, TakenBack, proof.Reason)
	case r.stage == Canary && !now.Before(r.completeAt()):
		advanced = r.advance(now, TakenBack, fmt.Sprintf("not proved in time: %s, evidence of %d of %d hosts", proof.Reason, proof.Reports, proof.Hosts))
	case r.stage == Canary && !now.Before(r.completeAt().Add(-p.fullTime(r, proof.Rate))) && proof.EnoughEvidence && proof.isQuorum():
		advanced = r.advance(now, Full, proof.Reason)
	}
	return r.change(), advanced
}

func (r *rollout) completeAt() time.Time {
	return r.deadline.Add(-completionMargin)
}

// Wanted returns the status that the store should hold, as far as the acting host's evidence goes.
func (p *Promoter) Wanted(now time.Time, service dotterelpulley.ServiceID, proof Proof) (dotterelpulley.RolloutStatus, bool) {
	r := p.rollouts[service]
	if r == nil || r.stage == Held || r.stage.final() {
		return dotterelpulley.RolloutStatus{}, false
	}
	status := dotterelpulley.RolloutStatus{Service: service, Target: r.Target, State: dotterelpulley.RolloutInProgress}
	switch {
	case r.stage == TakenBack:
		status.State = dotterelpulley.RolloutRolledBack
	case r.stage == Full && !now.Before(r.completeAt()) && now.Before(r.deadline) && proof.EnoughEvidence && !proof.Bad && proof.isQuorum():
		status.State = dotterelpulley.RolloutCompleted
	}
	return status, true
}

// Stored applies the status that the store holds in the record with the number, zero if that isn't known. An outcome that is there
// when the order has just come, before any host has written of it, belongs to an earlier order for the same target; so does the
// record by which such an order ended on this host, whenever it is read again.
func (p *Promoter) Stored(now time.Time, status dotterelpulley.RolloutStatus, record Number) (Change, bool) {
	r := p.rollouts[status.Service]
	if r == nil || r.Target != status.Target {
		return Change{}, false
	}
	readAgain := record != (Number{}) && record == r.earlierOutcome
	earlier := r.stage.running() && (readAgain || !r.announced && r.deadline.Sub(now) > r.Duration-announceTime)
	advanced := false
	switch {
	case status.State == dotterelpulley.RolloutInProgress:
		r.announced = true
	case earlier:
	case status.State == dotterelpulley.RolloutCompleted:
		advanced = r.advance(now, Completed, "in the store")
	case status.State == dotterelpulley.RolloutRolledBack:
		advanced = r.advance(now, RolledBack, "in the store")
	}
	if advanced {
		r.outcome = record
	}
	return r.change(), advanced
}
