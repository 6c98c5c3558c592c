package gateway

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// promotionInterval is the time between two looks at the roll-outs; together with the spread of a digest it is a small part of
// the limit within which a bad version has to be taken back.
const promotionInterval = 150 * time.Millisecond

// promotions holds the roll-outs that operators ordered; the zero value is ready to use.
type promotions struct {
	mutex    sync.Mutex
	promoter promoter.Promoter
	// available says of which services the target has an endpoint that can show how the version does.
	available map[dotterelpulley.ServiceID]bool
	proofs    map[dotterelpulley.ServiceID]datedProof
}

// datedProof is what was learned of a target, when, and under which order.
type datedProof struct {
	promoter.Proof
	at    time.Time
	order promoter.Number
}

func (p *promotions) limit(s promoter.Settings) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.promoter.Settings = s
}

// forTarget decides whether the next attempt of a request may run on the target of its service's roll-out.
func (p *promotions) forTarget(now time.Time, service dotterelpulley.ServiceID, route dotterelpulley.RouteID, attempts int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c, ok := p.promoter.Rollout(service)
	if !ok {
		return false
	}
	if !p.available[service] {
		return false
	}
	if attempts > 0 && c.Stage == promoter.Canary {
		// What has failed once is no test for a version that isn't proved.
		return false
	}
	return p.promoter.ForTarget(now, service, route)
}

// sent counts a request that is sent to an endpoint.
func (p *promotions) sent(service dotterelpulley.ServiceID, route dotterelpulley.RouteID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.available[service] {
		p.promoter.Sent(service, route)
	}
}

// report returns what this host tells the others of the roll-outs.
func (p *promotions) report(now time.Time) []announcer.Rollout {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var reported []announcer.Rollout
	for _, f := range p.promoter.Facts(now) {
		reported = append(reported, announcer.Rollout{
			RolloutOrder: f.RolloutOrder, Era: f.Number.Era, Next: f.Number.Next, Stage: int(f.Stage), Remaining: f.Remaining,
		})
	}
	return reported
}

// startRollout starts the roll-out of an order from the store.
func (g *Gateway) startRollout(now time.Time, o promoter.Order) {
	// The order isn't older than the time since this host last had all of the operators' records.
	age, ok := g.freshness.age()
	if !ok {
		age = math.MaxInt64
	}
	g.promotions.mutex.Lock()
	news := g.promotions.promoter.ReceiveOrder(now, o, age)
	change, _ := g.promotions.promoter.Rollout(o.Service)
	g.promotions.mutex.Unlock()
	if news {
		g.applyStage(now, change)
	}
}

// withdrawRollout takes back the roll-out whose order the operator withdrew.
func (g *Gateway) withdrawRollout(service dotterelpulley.ServiceID, withdrawal promoter.Number) {
	g.promotions.mutex.Lock()
	change, advanced := g.promotions.promoter.Withdraw(time.Now(), service, withdrawal)
	g.promotions.mutex.Unlock()
	if advanced {
		g.applyStage(time.Now(), change)
	}
}

// learnRollouts applies what another host tells of the roll-outs.
func (g *Gateway) learnRollouts(now time.Time, told []announcer.Rollout) {
	for _, r := range told {
		fact := promoter.Fact{
			Order: promoter.Order{RolloutOrder: r.RolloutOrder, Number: promoter.Number{Era: r.Era, Next: r.Next}},
			Stage: promoter.Stage(r.Stage), Remaining: r.Remaining,
		}
		g.promotions.mutex.Lock()
		change, advanced := g.promotions.promoter.Learn(now, fact)
		g.promotions.mutex.Unlock()
		if advanced {
			g.applyStage(now, change)
		}
	}
}

// applyStage puts a roll-out's new stage in force and tells the other hosts at once.
func (g *Gateway) applyStage(now time.Time, c promoter.Change) {
	g.metrics.Inc("rollouts-" + c.Stage.String())
	g.event(log.InfoLevel, "rollout-stage").Str("service", string(c.Service)).Str("target", string(c.Target)).
		Str("stage", c.Stage.String()).Str("why", c.Reason).Msg("")
	g.updateSplits(now)
	g.peers.sendNow()
}

// updateSplits tells the scheduler which versions may get work.
func (g *Gateway) updateSplits(now time.Time) {
	p := &g.promotions
	p.mutex.Lock()
	services := p.promoter.Services()
	p.mutex.Unlock()
	for _, service := range services {
		g.updateSplit(now, service)
	}
}

func (g *Gateway) updateSplit(now time.Time, service dotterelpulley.ServiceID) {
	p := &g.promotions
	p.mutex.Lock()
	change, ok := p.promoter.Rollout(service)
	p.mutex.Unlock()
	if !ok {
		return
	}
	var endpoints []dotterelpulley.EndpointID
	g.queue.access(func(now time.Time, s *scheduler.Scheduler) {
		endpoints = s.TargetEndpoints(now, service, change.Target)
	})
	p.mutex.Lock()
	if p.available == nil {
		p.available = map[dotterelpulley.ServiceID]bool{}
	}
	p.available[service] = len(endpoints) > 0
	split := scheduler.Split{Target: change.Target, Barred: change.Barred, Mode: splitModes[change.Stage], Focus: p.promoter.Focus(now, service, endpoints)}
	if p.promoter.Settled(now, service) {
		split = scheduler.Split{}
	}
	p.mutex.Unlock()
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.SetSplit(now, service, split) })
}

// splitModes are the modes of the stages; no work runs on the target in the others.
var splitModes = map[promoter.Stage]scheduler.SplitMode{
	promoter.Canary: scheduler.SplitMarked, promoter.Full: scheduler.SplitMarked, promoter.Completed: scheduler.SplitAll,
}

// promoteVersions carries the roll-outs on until the gateway stops.
func (g *Gateway) promoteVersions() {
	client, closeIdle := newRelayClient()
	defer closeIdle()
	repeater.Every(g.ctx, promotionInterval, func() {
		now := time.Now()
		g.countSamples(now)
		p := &g.promotions
		p.mutex.Lock()
		expired, unfinished := p.promoter.Expire(now), p.promoter.Unfinished()
		p.mutex.Unlock()
		for _, c := range expired {
			g.applyStage(now, c)
		}
		// Versions cease to matter some time after a completion, too.
		g.updateSplits(now)
		if len(unfinished) > 0 && g.isReader(now) {
			g.decideRollouts(client, unfinished)
		}
	})
}

// decideRollouts advances the roll-outs by the evidence of all hosts.
func (g *Gateway) decideRollouts(client *http.Client, unfinished []promoter.Change) {
	asked := time.Now()
	reports := [][]*assessor.Evidence{g.ownEvidence(asked)}
	if slices.ContainsFunc(unfinished, promoter.Change.NeedsEvidence) {
		reports = g.gatherEvidence(client)
	}
	now := time.Now()
	othersRun := g.othersRun(unfinished)
	p := &g.promotions
	for _, c := range unfinished {
		p.mutex.Lock()
		proof := p.promoter.Prove(now, c.Service, reports)
		proof.OthersRun = othersRun[c.Service]
		if p.proofs == nil {
			p.proofs = map[dotterelpulley.ServiceID]datedProof{}
		}
		change, advanced := p.promoter.Decide(now, c.Service, proof)
		p.proofs[c.Service] = datedProof{Proof: proof, at: asked, order: change.Number}
		p.mutex.Unlock()
		g.event(log.DebugLevel, "rollout-evidence").Str("service", string(c.Service)).Int("reports", proof.Reports).
			Int("hosts", proof.Hosts).Bool("enough", proof.EnoughEvidence).Str("seen", proof.Reason).Msg("")
		if advanced {
			g.applyStage(now, change)
		}
	}
}

// othersRun returns the services of which endpoints with another version than the target have written to the store since this host
// learned of them.
func (g *Gateway) othersRun(changes []promoter.Change) map[dotterelpulley.ServiceID]bool {
	g.registry.mutex.Lock()
	defer g.registry.mutex.Unlock()
	found := map[dotterelpulley.ServiceID]bool{}
	for _, e := range g.registry.Registrations() {
		for _, c := range changes {
			if e.Service == c.Service && e.Version != c.Target && e.State == dotterelpulley.EndpointLive && g.registry.Runs(e.ID) {
				found[c.Service] = true
			}
		}
	}
	return found
}
