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
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// suspectRetryAfter is the retry delay of a request that is refused because of earlier crashes, which is tried again after that
// time at the earliest.
const suspectRetryAfter = 30 * time.Second

// isolationKind is a kind of what may crash the endpoint that runs a request.
type isolationKind int

const (
	// promptParts are parts of prompts, which different requests share.
	promptParts isolationKind = iota
	// wholeRequests are requests that come again unchanged.
	wholeRequests

	isolationKinds
)

// kindNames are the names of the kinds in the log.
var kindNames = [isolationKinds]string{"part", "request"}

// isolation isolates what crashes endpoints, of one kind; the gateway's mutex guards what it embeds.
type isolation struct {
	isolator.PartGuard
	kind isolationKind
	// topic keeps what is isolated for hosts that all start at once.
	topic  platform.Topic
	keeper partKeeper
}

// suspectsOf returns what may crash the endpoint that runs the request, by kind.
func suspectsOf(q *request) (suspects [isolationKinds][]isolator.Part) {
	for _, p := range q.SharedParts {
		suspects[promptParts] = append(suspects[promptParts], isolator.PartOf(q.service, uint64(p)))
	}
	suspects[wholeRequests] = []isolator.Part{isolator.Part(fingerprintOf(q))}
	return suspects
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

func refuseSuspect(kind isolationKind, p isolator.Part) *refusal {
	refused := newRefusal(dotterelpulley.ErrorIsolated, fmt.Sprintf("%s %s crashed endpoints before", kindNames[kind], p))
	// This attempt hasn't run; a status that means a failed run would make the caller resend it.
	refused.status = http.StatusServiceUnavailable
	refused.retryAfter = suspectRetryAfter
	return refused
}

// checkSuspects refuses a request that may crash the endpoint which runs it; the mutex must be held.
func (g *Gateway) checkSuspects(now time.Time, suspects [isolationKinds][]isolator.Part) *refusal {
	for kind := range isolationKinds {
		if p, refused := g.isolations[kind].Check(now, suspects[kind], g.mayTryPart(now)); refused {
			g.metrics.Inc("parts-refused")
			return refuseSuspect(kind, p)
		}
	}
	return nil
}

// beginRun records that the request is about to be sent to the endpoint, unless it was isolated while it waited.
func (p *proxiedRequest) beginRun(a attempt) *refusal {
	g := p.gateway
	g.mutex.Lock()
	refused := g.checkSuspects(a.startedAt, p.suspects)
	if refused == nil {
		for kind := range isolationKinds {
			g.isolations[kind].Begin(a.startedAt, p.suspects[kind], startOf(a.Endpoint), a.attemptID, g.mayTryPart(a.startedAt))
		}
	}
	g.mutex.Unlock()
	if refused != nil {
		g.queue.updateAndDecide(func(now time.Time, s *scheduler.Scheduler) { s.Ended(now, a.ID, scheduler.ResultCancelled) })
	}
	return refused
}

// noteAnswered records that the endpoint has begun its answer and gone on with it, so that the request doesn't crash it.
func (p *proxiedRequest) noteAnswered(a attempt) {
	if a.throughHost() {
		return
	}
	p.gateway.changeIsolations("answered", func(i *isolation) []isolator.PartChange {
		return i.Answered(time.Now(), startOf(a.Endpoint), a.attemptID)
	})
}

// endpointCrashed records an endpoint's crash, for the requests that ran on it and their parts.
func (g *Gateway) endpointCrashed(now time.Time, e scheduler.Endpoint) {
	g.mutex.Lock()
	g.reportCrash(now, e)
	g.mutex.Unlock()
	g.changeIsolations("endpoint "+string(e.ID)+" crashed", func(i *isolation) []isolator.PartChange {
		return i.EndpointCrashed(now, startOf(e), isolator.Incident(instanceOf(e)))
	})
}

// startOf identifies the start that a request was sent to, which may no longer be the registered one.
func startOf(e scheduler.Endpoint) isolator.Start {
	return isolator.Start(fmt.Sprintf("%s/%08x", e.ID, uint32(instanceOf(e))))
}

// changeIsolations changes what is known of each kind by what this host has seen itself.
func (g *Gateway) changeIsolations(why string, change func(*isolation) []isolator.PartChange) {
	for kind := range isolationKinds {
		g.mutex.Lock()
		changes := change(&g.isolations[kind])
		g.mutex.Unlock()
		g.noteChanges(kind, changes, why)
	}
}

// mayRepeat reports whether the request is under no strong suspicion, as its repeat would cost one more endpoint.
func (p *proxiedRequest) mayRepeat() bool {
	p.gateway.mutex.Lock()
	defer p.gateway.mutex.Unlock()
	for kind := range isolationKinds {
		if !p.gateway.isolations[kind].MayRepeat(time.Now(), p.suspects[kind]) {
			return false
		}
	}
	return true
}

// receiveIsolations applies what another host's digest tells of crashes.
func (g *Gateway) receiveIsolations(now time.Time, d announcer.Digest) {
	g.receiveFacts(now, promptParts, d.ID, d.Parts)
	requests := d.Requests
	if !d.TellsRequests {
		requests = g.adoptCrashes(now, d.Crashes)
	}
	g.receiveFacts(now, wholeRequests, d.ID, requests)
}

// receiveFacts applies what another host knows of one kind.
func (g *Gateway) receiveFacts(now time.Time, kind isolationKind, from dotterelpulley.HostID, received []announcer.PartFact) {
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
	changes := g.isolations[kind].Receive(now, facts)
	g.mutex.Unlock()
	g.logChanges(kind, changes, "told by "+string(from))
	// Hosts time incidents a little differently, so that there may be none that saw the deciding one itself.
	g.keepOwnChanges(now, kind, changes)
}

// addIsolations adds what this host tells of crashes to the digest; the mutex must be held.
func (g *Gateway) addIsolations(now time.Time, d *announcer.Digest) {
	d.Parts = announcedFacts(g.isolations[promptParts].Facts(now, d.Sequence))
	d.Requests, d.TellsRequests = announcedFacts(g.isolations[wholeRequests].Facts(now, d.Sequence)), true
	d.Crashes = g.crashes.announced()
}

func announcedFacts(facts []isolator.PartFact) (announced []announcer.PartFact) {
	for _, f := range facts {
		announced = append(announced, announcer.PartFact{
			Part: uint64(f.Part), Incident: uint32(f.Incident), Evidence: uint8(f.Evidence), Age: f.Age,
		})
	}
	return announced
}

// noteChanges handles changes by what this host has seen itself.
func (g *Gateway) noteChanges(kind isolationKind, changes []isolator.PartChange, why string) {
	if len(changes) == 0 {
		return
	}
	g.logChanges(kind, changes, why)
	g.peers.sendNow()
	for _, c := range changes {
		if (c.From == isolator.IsolatedPart) != (c.To == isolator.IsolatedPart) {
			g.isolations[kind].keeper.add(c.Part)
		}
	}
}

// logChanges logs what is isolated or no longer is. Suspicions are many and short, so that only their count is kept.
func (g *Gateway) logChanges(kind isolationKind, changes []isolator.PartChange, why string) {
	for _, c := range changes {
		g.metrics.Inc("parts-" + c.To.String())
		if c.From != isolator.IsolatedPart && c.To != isolator.IsolatedPart {
			continue
		}
		g.event(log.WarnLevel, "part-"+c.To.String()).Str("kind", kindNames[kind]).Str("part", c.Part.String()).Str("was", c.From.String()).
			Int("incidents", c.Incidents).Str("incident", fmt.Sprintf("%08x", uint32(c.Incident))).Str("why", why).Msg("")
	}
}

// pruneIsolations forgets what no longer counts.
func (g *Gateway) pruneIsolations(now time.Time) {
	for kind := range isolationKinds {
		g.mutex.Lock()
		changes := g.isolations[kind].Prune(now)
		g.mutex.Unlock()
		g.logChanges(kind, changes, "expired")
		g.keepOwnChanges(now, kind, changes)
	}
}

// keepOwnChanges keeps what was isolated or no longer is, and what this host tries on parole.
func (g *Gateway) keepOwnChanges(now time.Time, kind isolationKind, changes []isolator.PartChange) {
	mayTry := g.mayTryPart(now)
	for _, c := range changes {
		if (c.From == isolator.IsolatedPart) != (c.To == isolator.IsolatedPart) && mayTry(c.Part) {
			g.isolations[kind].keeper.add(c.Part)
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
