package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	defaultLimit       = 8
	defaultZoneLatency = time.Millisecond
)

// Picker chooses endpoints; the zero value works.
type Picker struct {
	// Seed starts the random choice of candidates; each host has its own.
	Seed uint64
	// Zone is the host's own availability zone.
	Zone dotterelpulley.ZoneID
	// ZoneLatency is the time to an endpoint of another zone; 1 ms if zero.
	ZoneLatency time.Duration
	// Candidates is how many random endpoints are compared; 2 if zero.
	Candidates int

	Lengths

	source    *rand.PCG
	random    *rand.Rand
	places    map[dotterelpulley.EndpointID]int32
	endpoints []*endpoint
	// spare holds the places of endpoints that are gone.
	spare    []int32
	pools    map[dotterelpulley.ServiceID]*pool
	prefixes prefixMap
}

// pool is the endpoints of one service.
type pool struct {
	members []int32
	// peers is how many entry hosts use an endpoint of the service, this one included.
	peers int
	// largest is the highest limit of a member, at least 1.
	largest float64
	stale   bool
	// fill is the mean of load over limit of the endpoints that were looked at.
	fill float64
}

func (p *Picker) init() {
	if p.places != nil {
		return
	}
	p.source = rand.NewPCG(p.Seed, p.Seed)
	p.random = rand.New(p.source)
	p.places = map[dotterelpulley.EndpointID]int32{}
	p.pools = map[dotterelpulley.ServiceID]*pool{}
}

func (p *Picker) pool(id dotterelpulley.ServiceID) *pool {
	p.init()
	s, ok := p.pools[id]
	if !ok {
		s = &pool{peers: 1}
		p.pools[id] = s
	}
	return s
}

func (p *Picker) endpoint(id dotterelpulley.EndpointID) *endpoint {
	place, ok := p.places[id]
	if !ok {
		return nil
	}
	return p.endpoints[place]
}

// SetEndpoints replaces the endpoints that this host uses for the service; what is known of those that stay is kept.
func (p *Picker) SetEndpoints(id dotterelpulley.ServiceID, endpoints []dotterelpulley.Endpoint) {
	s := p.pool(id)
	before := s.members
	s.members = make([]int32, 0, len(endpoints))
	s.stale = true
	for _, described := range endpoints {
		place := p.place(described.ID)
		p.endpoints[place].Endpoint = described
		s.members = append(s.members, place)
	}
	for _, place := range before {
		if !slices.Contains(s.members, place) {
			p.retire(place)
		}
	}
}

// place returns where the endpoint is kept, a new or spare place if it is unknown.
func (p *Picker) place(id dotterelpulley.EndpointID) int32 {
	if place, ok := p.places[id]; ok {
		return place
	}
	place := int32(len(p.endpoints))
	if last := len(p.spare) - 1; last >= 0 {
		place = p.spare[last]
		p.spare = p.spare[:last]
		p.endpoints[place] = &endpoint{limit: defaultLimit}
	} else {
		p.endpoints = append(p.endpoints, &endpoint{limit: defaultLimit})
	}
	p.places[id] = place
	return place
}

// retire forgets an endpoint that is no longer used.
func (p *Picker) retire(place int32) {
	delete(p.places, p.endpoints[place].ID)
	p.endpoints[place].left = true
	p.spare = append(p.spare, place)
}

// MarkLeaving takes an endpoint that is known to leave out of the choice for good.
func (p *Picker) MarkLeaving(id dotterelpulley.EndpointID) {
	if e := p.endpoint(id); e != nil {
		e.left = true
	}
}

// Suspect keeps new work from the endpoint until the time.
func (p *Picker) Suspect(id dotterelpulley.EndpointID, until time.Time) {
	if e := p.endpoint(id); e != nil {
		e.suspectUntil(until)
	}
}

// SetLimit tells how many requests of all hosts the endpoint may run.
func (p *Picker) SetLimit(id dotterelpulley.EndpointID, limit float64) {
	e := p.endpoint(id)
	if e == nil || e.limit == limit {
		return
	}
	e.limit = limit
	p.pool(e.Service).stale = true
}

// SetHostCount tells how many entry hosts use each endpoint of the service, this one included.
func (p *Picker) SetHostCount(id dotterelpulley.ServiceID, hosts int) {
	p.pool(id).peers = max(hosts, 1)
}

// Serves reports whether an endpoint of the service that may get new work has the version.
func (p *Picker) Serves(now time.Time, id dotterelpulley.ServiceID, version dotterelpulley.VersionID) bool {
	for _, place := range p.pool(id).members {
		if e := p.endpoints[place]; e.usable(now) && e.Serves(version) {
			return true
		}
	}
	return false
}

// Report takes an endpoint's load report.
func (p *Picker) Report(now time.Time, id dotterelpulley.EndpointID, r Report) {
	if e := p.endpoint(id); e != nil {
		e.take(now, r)
	}
}

// Cached takes an endpoint's word that it holds the prefix.
func (p *Picker) Cached(now time.Time, id dotterelpulley.EndpointID, hash PrefixHash) {
	if place, ok := p.places[id]; ok {
		p.prefixes.add(now, hash, place)
	}
}

// Evicted takes an endpoint's word that it holds the prefix no longer.
func (p *Picker) Evicted(id dotterelpulley.EndpointID, hash PrefixHash) {
	if place, ok := p.places[id]; ok {
		p.prefixes.remove(hash, place)
	}
}

// Load returns how many requests of all hosts the endpoint is taken to run.
func (p *Picker) Load(now time.Time, id dotterelpulley.EndpointID) float64 {
	e := p.endpoint(id)
	if e == nil {
		return 0
	}
	return e.load(now, p.pool(e.Service).peers)
}

// Slots returns the sum of the limits of the service's usable endpoints.
func (p *Picker) Slots(now time.Time, id dotterelpulley.ServiceID) float64 {
	total := 0.0
	for _, place := range p.pool(id).members {
		if e := p.endpoints[place]; e.usable(now) {
			total += e.limit
		}
	}
	return total
}
