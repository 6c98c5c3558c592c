package picker

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultCandidates = 2
	// drawsPerCandidate bounds the random draws before all endpoints are looked at.
	drawsPerCandidate = 8
	maxCandidates     = 12
	// boundedFill is by how much an endpoint may be fuller than the mean and still be preferred for its cache.
	boundedFill = 1.25
	// fillSlack lets a cache be preferred while all endpoints are nearly idle.
	fillSlack  = 0.1
	fillWeight = 0.05
	// leastAccept is the least chance that a drawn endpoint is compared.
	leastAccept = 0.05
)

// Criteria is what has to be known of a request to choose its endpoint.
type Criteria struct {
	RouteKey
	// Version is the one to run on; empty for any that isn't barred.
	Version          dotterelpulley.VersionID
	ExcludedVersions []dotterelpulley.VersionID
	PromptBytes      int
	MaxTokens        dotterelpulley.Tokens
	Prefixes         []PrefixHash
	// Reserve is the share of each limit that the request's tier leaves free.
	Reserve float64
	// ExcludedEndpoints names the endpoints that an attempt has already failed on.
	ExcludedEndpoints map[dotterelpulley.EndpointID]bool
}

// Choice is the endpoint and version that a request goes to.
type Choice struct {
	RouteKey
	Endpoint dotterelpulley.EndpointID
	Address  dotterelpulley.Address
	Version  dotterelpulley.VersionID
	// Inflight is the load that the endpoint was taken to have before the request.
	Inflight float64
	// Prefill is the expected number of prompt tokens that are not cached.
	Prefill float64

	prefixes []PrefixHash
	// ahead is the prefill that stood before the request's own.
	ahead float64
}

// Verdict tells whether and why not an endpoint was found.
type Verdict int

// The verdicts of a choice.
const (
	Chosen Verdict = iota
	NoCapacity
	NoEndpoint
)

// candidate is an endpoint under comparison.
type candidate struct {
	place  int32
	load   float64
	cached float64
}

// candidates is a small set of endpoints under comparison.
type candidates struct {
	list  [maxCandidates]candidate
	count int
}

func (c *candidates) has(place int32) bool {
	for i := range c.count {
		if c.list[i].place == place {
			return true
		}
	}
	return false
}

func (c *candidates) add(one candidate) {
	if c.count < maxCandidates {
		c.list[c.count] = one
		c.count++
	}
}

// Choose returns the endpoint for the request; Sent has to follow when the request goes there.
func (p *Picker) Choose(now time.Time, ask Criteria) (Choice, Verdict) {
	s := p.pool(ask.Service)
	s.refresh(p.endpoints)
	var found candidates
	p.addHolders(now, s, &ask, &found)
	verdict := p.addRandom(now, s, &ask, &found)
	if found.count == 0 {
		return Choice{}, verdict
	}
	best := p.best(s, &ask, &found)
	return p.choice(&ask, best), Chosen
}

func (s *pool) refresh(endpoints []*endpoint) {
	if !s.stale {
		return
	}
	s.stale = false
	s.largest = 1
	for _, place := range s.members {
		s.largest = math.Max(s.largest, endpoints[place].limit)
	}
}

// consider returns the endpoint as a candidate if it may take the request.
func (p *Picker) consider(now time.Time, s *pool, ask *Criteria, place int32) (candidate, Verdict) {
	e := p.endpoints[place]
	if !e.usable(now) || ask.ExcludedEndpoints[e.ID] || e.Service != ask.Service {
		return candidate{}, NoEndpoint
	}
	if _, ok := e.version(ask); !ok {
		return candidate{}, NoEndpoint
	}
	load := e.load(now, s.peers)
	s.fill += fillWeight * (load/math.Max(e.limit, 1) - s.fill)
	if !e.room(load, ask.Reserve) {
		return candidate{}, NoCapacity
	}
	return candidate{place: place, load: load}, Chosen
}

// addHolders adds endpoints that may have a prefix of the prompt cached, the longest first.
func (p *Picker) addHolders(now time.Time, s *pool, ask *Criteria, found *candidates) {
	for place := len(ask.Prefixes) - 1; place >= 0; place-- {
		h := p.prefixes.get(ask.Prefixes[place])
		if h == nil {
			continue
		}
		for _, known := range h.known[:h.count] {
			if found.has(known.endpoint) || found.count >= maxCandidates/2 {
				continue
			}
			one, verdict := p.consider(now, s, ask, known.endpoint)
			if verdict != Chosen || p.overfull(s, one) {
				continue
			}
			one.cached = PromptTokens(prefixBytes(place)) * confidence(now, known.seen)
			found.add(one)
		}
	}
}

func (p *Picker) overfull(s *pool, one candidate) bool {
	return one.load/math.Max(p.endpoints[one.place].limit, 1) > boundedFill*s.fill+fillSlack
}

// addRandom adds random endpoints, the more likely the higher their limits, and all there are when draws miss.
func (p *Picker) addRandom(now time.Time, s *pool, ask *Criteria, found *candidates) Verdict {
	if len(s.members) == 0 {
		return NoEndpoint
	}
	wanted := p.Candidates
	if wanted <= 0 {
		wanted = defaultCandidates
	}
	wanted = min(wanted, maxCandidates/2)
	added := 0
	for range wanted * drawsPerCandidate {
		place := s.members[p.random.IntN(len(s.members))]
		accept := math.Max(p.endpoints[place].limit/s.largest, leastAccept)
		if p.random.Float64() >= accept || found.has(place) {
			continue
		}
		one, verdict := p.consider(now, s, ask, place)
		if verdict != Chosen {
			continue
		}
		found.add(one)
		added++
		if added == wanted {
			return Chosen
		}
	}
	if found.count > 0 {
		return Chosen
	}
	return p.addFirst(now, s, ask, found)
}

// addFirst looks at every endpoint from a random one on and adds the first that fits.
func (p *Picker) addFirst(now time.Time, s *pool, ask *Criteria, found *candidates) Verdict {
	verdict := NoEndpoint
	start := p.random.IntN(len(s.members))
	for i := range s.members {
		place := s.members[(start+i)%len(s.members)]
		one, v := p.consider(now, s, ask, place)
		switch v {
		case Chosen:
			found.add(one)
			return Chosen
		case NoCapacity:
			verdict = NoCapacity
		case NoEndpoint:
		}
	}
	return verdict
}

func (p *Picker) best(s *pool, ask *Criteria, found *candidates) candidate {
	tokens := p.Expect(ask.RouteKey, ask.MaxTokens)
	var best candidate
	least := math.Inf(1)
	for _, one := range found.list[:found.count] {
		e := p.endpoints[one.place]
		score := e.seconds(one.load, tokens, p.uncached(ask, one), s.peers)
		if e.Zone != p.Zone {
			score += 2 * p.zoneLatency().Seconds()
		}
		if score < least {
			best, least = one, score
		}
	}
	return best
}

func (p *Picker) zoneLatency() time.Duration {
	if p.ZoneLatency > 0 {
		return p.ZoneLatency
	}
	return defaultZoneLatency
}

func (p *Picker) uncached(ask *Criteria, one candidate) float64 {
	return math.Max(PromptTokens(ask.PromptBytes)-one.cached, 1)
}

func (p *Picker) choice(ask *Criteria, one candidate) Choice {
	e := p.endpoints[one.place]
	version, _ := e.version(ask)
	return Choice{
		RouteKey: ask.RouteKey,
		Endpoint: e.ID,
		Address:  e.Address,
		Version:  version,
		Inflight: one.load,
		Prefill:  p.uncached(ask, one),
		prefixes: ask.Prefixes,
		ahead:    e.ownPrefill * float64(p.pool(ask.Service).peers),
	}
}
