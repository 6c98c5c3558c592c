package pathfinder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// firstProbes is the number of endpoints to which a connection is tried to tell lost links from a failed endpoint; moreProbes is
	// how many more are tried if none is made, as many endpoints may have failed at once.
	firstProbes = 3
	moreProbes  = 12
	// verdictTTL is how long links that were seen to work are taken to do so, which bounds the connections that are tried.
	verdictTTL = 100 * time.Millisecond
)

// Pathfinder holds what one host knows of its links to the endpoints of each service; the zero value is ready to use.
type Pathfinder struct {
	// Seed seeds the random choices.
	Seed uint64

	random *rand.Rand
	lost   map[dotterelpulley.ServiceID]bool
	seenUp map[dotterelpulley.ServiceID]time.Time
	// passedOn counts the requests in progress at each host.
	passedOn map[dotterelpulley.HostID]int
}

func (p *Pathfinder) init() {
	if p.lost == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 4))
		p.lost = map[dotterelpulley.ServiceID]bool{}
		p.seenUp = map[dotterelpulley.ServiceID]time.Time{}
		p.passedOn = map[dotterelpulley.HostID]int{}
	}
}

// Lost reports whether the links to the service's endpoints are lost.
func (p *Pathfinder) Lost(id dotterelpulley.ServiceID) bool {
	return p.lost[id]
}

// LostServices returns the services whose endpoints this host can't reach, sorted.
func (p *Pathfinder) LostServices() []dotterelpulley.ServiceID {
	return slices.Sorted(maps.Keys(p.lost))
}

// MustProbe reports whether a failure to reach an endpoint of the service calls for connections to others: not while its links
// are known to be lost, or were just seen to work.
func (p *Pathfinder) MustProbe(now time.Time, id dotterelpulley.ServiceID) bool {
	return !p.lost[id] && now.Sub(p.seenUp[id]) > verdictTTL
}

// Candidates returns the addresses to try, without those of the failed endpoint, in random order: those to try first, and those
// to try if no connection to them is made.
func (p *Pathfinder) Candidates(addresses []dotterelpulley.Address, failed dotterelpulley.Address) (first, more []dotterelpulley.Address) {
	p.init()
	others := slices.DeleteFunc(slices.Clone(addresses), func(a dotterelpulley.Address) bool { return a == failed })
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	first = others[:min(len(others), firstProbes)]
	return first, others[len(first):min(len(others), firstProbes+moreProbes)]
}

// Probed records how many of the connections to a service's endpoints that were tried were made, and reports whether the state
// of its links has changed. No connection tried shows nothing.
func (p *Pathfinder) Probed(now time.Time, id dotterelpulley.ServiceID, tried, made int) (changed bool) {
	p.init()
	if tried == 0 {
		return false
	}
	if made == 0 {
		changed = !p.lost[id]
		p.lost[id] = true
		return changed
	}
	changed = p.lost[id]
	delete(p.lost, id)
	p.seenUp[id] = now
	return changed
}

// Helper is a host that requests may go through.
type Helper struct {
	ID      dotterelpulley.HostID
	Address dotterelpulley.Address
}

// Choose returns the one of two random helpers through which fewer of this host's requests go, and counts one more there; Done
// must be called when the request has ended. It returns false if there is no helper.
//
// The choice is random over all helpers: if the hosts that are cut off preferred the nearest ones, those would be overloaded.
func (p *Pathfinder) Choose(helpers []Helper, excluded map[dotterelpulley.HostID]bool) (Helper, bool) {
	p.init()
	able := slices.DeleteFunc(slices.Clone(helpers), func(h Helper) bool { return excluded[h.ID] })
	if len(able) == 0 {
		return Helper{}, false
	}
	chosen := able[p.random.IntN(len(able))]
	if other := able[p.random.IntN(len(able))]; p.passedOn[other.ID] < p.passedOn[chosen.ID] {
		chosen = other
	}
	p.passedOn[chosen.ID]++
	return chosen, true
}

// Done records that a request that went through the helper has ended.
func (p *Pathfinder) Done(id dotterelpulley.HostID) {
	if p.passedOn[id]--; p.passedOn[id] <= 0 {
		delete(p.passedOn, id)
	}
}
