package pathfinder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// ProbeCount is the number of endpoints to which a connection is tried to tell lost links from a failed endpoint.
	ProbeCount = 3
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
}

func (p *Pathfinder) init() {
	if p.lost == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, 4))
		p.lost = map[dotterelpulley.ServiceID]bool{}
		p.seenUp = map[dotterelpulley.ServiceID]time.Time{}
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

// Candidates returns up to ProbeCount of the addresses in random order, without those of the failed endpoint.
func (p *Pathfinder) Candidates(addresses []dotterelpulley.Address, failed dotterelpulley.Address) []dotterelpulley.Address {
	p.init()
	others := slices.DeleteFunc(slices.Clone(addresses), func(a dotterelpulley.Address) bool { return a == failed })
	p.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), ProbeCount)]
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
