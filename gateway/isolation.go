package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// partRetryAfter is the retry delay of a request with an isolated part, which is tried again after that time at the earliest.
const partRetryAfter = 30 * time.Second

// partsOf returns the parts of the request's prompt that may be isolated.
func partsOf(q *request) []isolator.Part {
	var parts []isolator.Part
	for _, p := range q.SharedParts {
		parts = append(parts, isolator.PartOf(q.service, uint64(p)))
	}
	return parts
}

// mayTryPart reports whether this host is the one that tries the part on parole: the one with the highest hash of those alive.
func (g *Gateway) mayTryPart(now time.Time) func(isolator.Part) bool {
	return func(p isolator.Part) bool {
		weight := func(id dotterelpulley.HostID) uint64 { return xxhash.Sum64String(p.String() + "/" + string(id)) }
		own := weight(g.settings.Host)
		for _, m := range g.peers.liveHosts(now) {
			if weight(m.ID) > own {
				return false
			}
		}
		return true
	}
}

func refusePart(p isolator.Part) *refusal {
	refused := newRefusal(dotterelpulley.ErrorIsolated, fmt.Sprintf("part %s of the prompt crashed endpoints before", p))
	// This attempt hasn't run; a status that means a failed run would make the caller resend it.
	refused.status = http.StatusServiceUnavailable
	refused.retryAfter = partRetryAfter
	return refused
}

// checkParts refuses a request with an isolated part; the mutex must be held.
func (g *Gateway) checkParts(now time.Time, q *request) *refusal {
	if p, refused := g.parts.Check(now, q.parts, g.mayTryPart(now)); refused {
		g.metrics.Inc("parts-refused")
		return refusePart(p)
	}
	return nil
}

// beginRun records that the request is about to be sent to the endpoint, unless one of its parts was isolated while it waited.
func (p *proxiedRequest) beginRun(a attempt) *refusal {
	g := p.gateway
	g.mutex.Lock()
	part, refused := g.parts.Begin(a.startedAt, p.parts, a.Endpoint.ID, a.attemptID, g.mayTryPart(a.startedAt))
	if !refused {
		g.isolator.Started(a.startedAt, p.fingerprint, a.Endpoint.ID, a.attemptID)
	}
	g.mutex.Unlock()
	if !refused {
		return nil
	}
	g.metrics.Inc("parts-refused")
	g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.Ended(now, a.ID, scheduler.ResultCancelled) })
	return refusePart(part)
}

// noteAnswered records that the endpoint has begun its answer and gone on with it, so that no part of the prompt crashes it.
func (p *proxiedRequest) noteAnswered(a attempt) {
	if len(p.parts) == 0 || a.helper != "" {
		return
	}
	g := p.gateway
	g.mutex.Lock()
	changes := g.parts.Answered(time.Now(), a.Endpoint.ID, a.attemptID)
	g.mutex.Unlock()
	g.notePartChanges(changes, "answered")
}

// endpointCrashed records an endpoint's crash, for the requests that ran on it and their parts.
func (g *Gateway) endpointCrashed(now time.Time, id dotterelpulley.EndpointID) {
	g.registry.mutex.Lock()
	instance, ok := g.registry.Instance(id)
	g.registry.mutex.Unlock()
	incident := isolator.Incident(instance)
	if !ok {
		// An endpoint whose registration has gone has no other start.
		incident = isolator.Incident(scheduler.EndpointKey(id))
	}
	g.mutex.Lock()
	g.recordCrash(now, id)
	changes := g.parts.EndpointCrashed(now, id, incident)
	g.mutex.Unlock()
	g.notePartChanges(changes, "endpoint "+string(id)+" crashed")
}

// mayRepeat reports whether no part of the request is under strong suspicion, as its repeat would cost one more endpoint.
func (p *proxiedRequest) mayRepeat() bool {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	return p.gateway.parts.MayRepeat(time.Now(), p.parts)
}

// receiveParts applies what another host knows of parts.
func (g *Gateway) receiveParts(now time.Time, from dotterelpulley.HostID, received []announcer.PartFact) {
	if len(received) == 0 {
		return
	}
	var facts []isolator.PartFact
	for _, f := range received {
		facts = append(facts, isolator.PartFact{
			Part: isolator.Part(f.Part), Incident: isolator.Incident(f.Incident), Evidence: isolator.Evidence(f.Evidence), Age: f.Age,
		})
	}
	g.mutex.Lock()
	changes := g.parts.Receive(now, facts)
	g.mutex.Unlock()
	g.logPartChanges(changes, "told by "+string(from))
	// Hosts time incidents a little differently, so that there may be none that saw the deciding one itself.
	g.keepOwnParts(now, changes)
}

// reportedParts returns what the digest with this number tells of parts; the mutex must be held.
func (g *Gateway) reportedParts(now time.Time, sequence uint64) []announcer.PartFact {
	var reported []announcer.PartFact
	for _, f := range g.parts.Facts(now, sequence) {
		reported = append(reported, announcer.PartFact{
			Part: uint64(f.Part), Incident: uint32(f.Incident), Evidence: uint8(f.Evidence), Age: f.Age,
		})
	}
	return reported
}

// notePartChanges handles changes by what this host has seen itself.
func (g *Gateway) notePartChanges(changes []isolator.PartChange, why string) {
	if len(changes) == 0 {
		return
	}
	g.logPartChanges(changes, why)
	g.peers.sendNow()
	for _, c := range changes {
		if (c.From == isolator.IsolatedPart) != (c.To == isolator.IsolatedPart) {
			g.keepPart(c.Part)
		}
	}
}

// logPartChanges logs the parts whose state has changed. Suspicions are many and short, so that only their count is kept.
func (g *Gateway) logPartChanges(changes []isolator.PartChange, why string) {
	for _, c := range changes {
		g.metrics.Inc("parts-" + c.To.String())
		if c.From != isolator.IsolatedPart && c.To != isolator.IsolatedPart {
			continue
		}
		g.event(log.WarnLevel, "part-"+c.To.String()).Str("part", c.Part.String()).Str("was", c.From.String()).
			Int("incidents", c.Incidents).Str("incident", fmt.Sprintf("%08x", uint32(c.Incident))).Str("why", why).Msg("")
	}
}

// prunePartsAndTell forgets what no longer counts of parts.
func (g *Gateway) prunePartsAndTell(now time.Time) {
	g.mutex.Lock()
	changes := g.parts.Prune(now)
	g.mutex.Unlock()
	g.logPartChanges(changes, "expired")
	g.keepOwnParts(now, changes)
}

// keepOwnParts keeps the parts that were isolated or no longer are, and that this host tries on parole.
func (g *Gateway) keepOwnParts(now time.Time, changes []isolator.PartChange) {
	mayTry := g.mayTryPart(now)
	for _, c := range changes {
		if (c.From == isolator.IsolatedPart) != (c.To == isolator.IsolatedPart) && mayTry(c.Part) {
			g.keepPart(c.Part)
		}
	}
}

// partNames returns the names of parts in the log.
func partNames(parts []isolator.Part) string {
	var names []string
	for _, p := range parts {
		names = append(names, p.String())
	}
	return strings.Join(names, ",")
}
