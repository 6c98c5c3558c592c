package picker

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultCandidates = 2
	// drawsPerCandidate bounds the random draws before the search falls back to all endpoints.
	drawsPerCandidate = 8
	maxCandidates     = 12
	// maxRelativeFill is the multiple of the mean fill, load relative to limit, up to which an endpoint is preferred for its cache.
	maxRelativeFill = 1.25
	// fillSlack allows the preference for a cache while all endpoints are nearly idle.
	fillSlack  = 0.1
	fillWeight = 0.05
	// minAcceptance is the minimum probability that a drawn endpoint is compared.
	minAcceptance = 0.05
)

// Criteria are the properties of a request by which its endpoint is chosen.
type Criteria struct {
	RouteKey
	// Version is the version to run on; empty for any that is not excluded.
	Version          dotterelpulley.VersionID
	ExcludedVersions []dotterelpulley.VersionID
	PromptBytes      int
	MaxTokens        dotterelpulley.Tokens
	Prefixes         []PrefixHash
	// Reserve is the fraction of each limit that the request's tier leaves free.
	Reserve float64
	// ExcludedEndpoints are the endpoints on which an attempt has already failed.
	ExcludedEndpoints map[dotterelpulley.EndpointID]bool
}

// Choice is the endpoint and version chosen for a request.
type Choice struct {
	RouteKey
	Endpoint dotterelpulley.EndpointID
	Address  dotterelpulley.Address
	Version  dotterelpulley.VersionID
	// Inflight is the estimated load of the endpoint before the request.
	Inflight float64
	// Prefill is the expected number of prompt tokens that are not cached.
	Prefill float64

	prefixes []PrefixHash
	// ahead is the number of prompt tokens to prefill before the request's own.
	ahead float64
}

// Verdict is the result of a choice.
type Verdict int

// The results of a choice.
const (
	Chosen Verdict = iota
	NoCapacity
	NoEndpoint
)

// candidate is an endpoint under comparison.
type candidate struct {
	index  int32
	load   float64
	cached float64
}

// candidates is a small set of endpoints under comparison.
type candidates struct {
	list  [maxCandidates]candidate
	count int
}

func (c *candidates) has(index int32) bool {
	for i := range c.count {
		if c.list[i].index == index {
			return true
		}
	}
	return false
}

func (c *candidates) add(cand candidate) {
	if c.count < maxCandidates {
		c.list[c.count] = cand
		c.count++
	}
}

// Choose returns the endpoint for the request; Sent must be called when the request is sent there.
func (p *Picker) Choose(now time.Time, criteria Criteria) (Choice, Verdict) {
	s := p.pool(criteria.Service)
	s.refresh(p.endpoints)
	var found candidates
	p.addCacheHolders(now, s, &criteria, &found)
	verdict := p.addRandom(now, s, &criteria, &found)
	if found.count == 0 {
		return Choice{}, verdict
	}
	best := p.best(s, &criteria, &found)
	return p.choice(&criteria, best), Chosen
}

func (s *pool) refresh(endpoints []*endpoint) {
	if !s.stale {
		return
	}
	s.stale = false
	s.largest = 1
	for _, index := range s.members {
		s.largest = math.Max(s.largest, endpoints[index].limit)
	}
}

// consider returns the endpoint as a candidate if it can take the request.
func (p *Picker) consider(now time.Time, s *pool, criteria *Criteria, index int32) (candidate, Verdict) {
	e := p.endpoints[index]
	if !e.usable(now) || criteria.ExcludedEndpoints[e.ID] || e.Service != criteria.Service {
		return candidate{}, NoEndpoint
	}
	if _, ok := e.version(criteria); !ok {
		return candidate{}, NoEndpoint
	}
	load := e.load(now, s.hosts)
	s.fill += fillWeight * (load/math.Max(e.limit, 1) - s.fill)
	if !e.hasRoom(load, criteria.Reserve) {
		return candidate{}, NoCapacity
	}
	return candidate{index: index, load: load}, Chosen
}

// addCacheHolders adds endpoints that may have a prefix of the prompt cached, those with the longest prefix first.
func (p *Picker) addCacheHolders(now time.Time, s *pool, criteria *Criteria, found *candidates) {
	for prefixIndex := len(criteria.Prefixes) - 1; prefixIndex >= 0; prefixIndex-- {
		h := p.prefixes.get(criteria.Prefixes[prefixIndex])
		if h == nil {
			continue
		}
		for _, holder := range h.list[:h.count] {
			if found.has(holder.index) || found.count >= maxCandidates/2 {
				continue
			}
			cand, verdict := p.consider(now, s, criteria, holder.index)
			if verdict != Chosen || p.overfull(s, cand) {
				continue
			}
			cand.cached = PromptTokens(prefixBytes(prefixIndex)) * confidence(now, holder.seen)
			found.add(cand)
		}
	}
}

func (p *Picker) overfull(s *pool, cand candidate) bool {
	return cand.load/math.Max(p.endpoints[cand.index].limit, 1) > maxRelativeFill*s.fill+fillSlack
}

// addRandom adds random endpoints, with a probability in proportion to their limits; without any candidate it falls back
// to addFirstFit.
func (p *Picker) addRandom(now time.Time, s *pool, criteria *Criteria, found *candidates) Verdict {
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
		index := s.members[p.random.IntN(len(s.members))]
		accept := math.Max(p.endpoints[index].limit/s.largest, minAcceptance)
		if p.random.Float64() >= accept || found.has(index) {
			continue
		}
		cand, verdict := p.consider(now, s, criteria, index)
		if verdict != Chosen {
			continue
		}
		found.add(cand)
		added++
		if added == wanted {
			return Chosen
		}
	}
	if found.count > 0 {
		return Chosen
	}
	return p.addFirstFit(now, s, criteria, found)
}

// addFirstFit adds the first endpoint that fits, starting at a random one.
func (p *Picker) addFirstFit(now time.Time, s *pool, criteria *Criteria, found *candidates) Verdict {
	verdict := NoEndpoint
	start := p.random.IntN(len(s.members))
	for i := range s.members {
		index := s.members[(start+i)%len(s.members)]
		cand, v := p.consider(now, s, criteria, index)
		switch v {
		case Chosen:
			found.add(cand)
			return Chosen
		case NoCapacity:
			verdict = NoCapacity
		case NoEndpoint:
		}
	}
	return verdict
}

func (p *Picker) best(s *pool, criteria *Criteria, found *candidates) candidate {
	tokens := p.Expect(criteria.RouteKey, criteria.MaxTokens)
	var best candidate
	lowest := math.Inf(1)
	for _, cand := range found.list[:found.count] {
		e := p.endpoints[cand.index]
		score := e.addedSeconds(cand.load, tokens, p.uncached(criteria, cand), s.hosts)
		if e.Zone != p.Zone {
			score += 2 * p.zoneLatency().Seconds()
		}
		if score < lowest {
			best, lowest = cand, score
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

func (p *Picker) uncached(criteria *Criteria, cand candidate) float64 {
	return math.Max(PromptTokens(criteria.PromptBytes)-cand.cached, 1)
}

func (p *Picker) choice(criteria *Criteria, cand candidate) Choice {
	e := p.endpoints[cand.index]
	version, _ := e.version(criteria)
	return Choice{
		RouteKey: criteria.RouteKey,
		Endpoint: e.ID,
		Address:  e.Address,
		Version:  version,
		Inflight: cand.load,
		Prefill:  p.uncached(criteria, cand),
		prefixes: criteria.Prefixes,
		ahead:    e.ownPrefill * float64(p.pool(criteria.Service).hosts),
	}
}
