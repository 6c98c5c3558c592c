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

// Picker chooses endpoints; the zero value is ready to use.
type Picker struct {
	// Seed seeds the random choice of candidates; it differs between hosts.
	Seed uint64
	// Zone is the host's own availability zone.
	Zone dotterelpulley.ZoneID
	// ZoneLatency is the latency to an endpoint in another availability zone; 1 ms if zero.
	ZoneLatency time.Duration
	// Candidates is the number of random endpoints that are compared; 2 if zero.
	Candidates int

	Lengths

	source    *rand.PCG
	random    *rand.Rand
	indexes   map[dotterelpulley.EndpointID]int32
	endpoints []*endpoint
	// freeIndexes holds the indexes of removed endpoints for reuse.
	freeIndexes []int32
	pools       map[dotterelpulley.ServiceID]*pool
	prefixes    prefixMap
}

// pool holds the endpoints of one service, by index.
type pool struct {
	members []int32
	// hosts is the number of entry hosts that use an endpoint of the service, this one included.
	hosts int
	// largest is the highest limit of a member, at least 1.
	largest float64
	stale   bool
	// fill is the moving average of load relative to limit over the endpoints considered.
	fill float64
}

func (p *Picker) init() {
	if p.indexes != nil {
		return
	}
	p.source = rand.NewPCG(p.Seed, p.Seed)
	p.random = rand.New(p.source)
	p.indexes = map[dotterelpulley.EndpointID]int32{}
	p.pools = map[dotterelpulley.ServiceID]*pool{}
}

func (p *Picker) pool(id dotterelpulley.ServiceID) *pool {
	p.init()
	s, ok := p.pools[id]
	if !ok {
		s = &pool{hosts: 1}
		p.pools[id] = s
	}
	return s
}

func (p *Picker) endpoint(id dotterelpulley.EndpointID) *endpoint {
	index, ok := p.indexes[id]
	if !ok {
		return nil
	}
	return p.endpoints[index]
}

// SetEndpoints replaces the endpoints that this host uses for the service and keeps the state of those that remain.
func (p *Picker) SetEndpoints(id dotterelpulley.ServiceID, endpoints []dotterelpulley.Endpoint) {
	s := p.pool(id)
	previous := s.members
	s.members = make([]int32, 0, len(endpoints))
	s.stale = true
	for _, described := range endpoints {
		index := p.indexOf(described.ID)
		p.endpoints[index].Endpoint = described
		s.members = append(s.members, index)
	}
	for _, index := range previous {
		if !slices.Contains(s.members, index) {
			p.retire(index)
		}
	}
}

// indexOf returns the index of the endpoint, and assigns one if it is unknown.
func (p *Picker) indexOf(id dotterelpulley.EndpointID) int32 {
	if index, ok := p.indexes[id]; ok {
		return index
	}
	index := int32(len(p.endpoints))
	if last := len(p.freeIndexes) - 1; last >= 0 {
		index = p.freeIndexes[last]
		p.freeIndexes = p.freeIndexes[:last]
		p.endpoints[index] = &endpoint{limit: defaultLimit}
	} else {
		p.endpoints = append(p.endpoints, &endpoint{limit: defaultLimit})
	}
	p.indexes[id] = index
	return index
}

// retire removes an endpoint that is no longer used.
func (p *Picker) retire(index int32) {
	delete(p.indexes, p.endpoints[index].ID)
	p.endpoints[index].leaving = true
	p.freeIndexes = append(p.freeIndexes, index)
}

// MarkLeaving permanently stops new work on an endpoint that is about to leave.
func (p *Picker) MarkLeaving(id dotterelpulley.EndpointID) {
	if e := p.endpoint(id); e != nil {
		e.leaving = true
	}
}

// Suspect excludes the endpoint from new work until the time.
func (p *Picker) Suspect(id dotterelpulley.EndpointID, until time.Time) {
	if e := p.endpoint(id); e != nil {
		e.suspectUntil(until)
	}
}

// SetLimit sets how many requests of all hosts the endpoint may run.
func (p *Picker) SetLimit(id dotterelpulley.EndpointID, limit float64) {
	e := p.endpoint(id)
	if e == nil || e.limit == limit {
		return
	}
	e.limit = limit
	p.pool(e.Service).stale = true
}

// SetHostCount sets how many entry hosts use each endpoint of the service, this one included.
func (p *Picker) SetHostCount(id dotterelpulley.ServiceID, hosts int) {
	p.pool(id).hosts = max(hosts, 1)
}

// Serves reports whether an endpoint of the service that is open to new work has the version.
func (p *Picker) Serves(now time.Time, id dotterelpulley.ServiceID, version dotterelpulley.VersionID) bool {
	for _, index := range p.pool(id).members {
		if e := p.endpoints[index]; e.usable(now) && e.Serves(version) {
			return true
		}
	}
	return false
}

// Report records an endpoint's load report.
func (p *Picker) Report(now time.Time, id dotterelpulley.EndpointID, r Report) {
	if e := p.endpoint(id); e != nil {
		e.applyReport(now, r)
	}
}

// Cached records that an endpoint reported the prefix as cached.
func (p *Picker) Cached(now time.Time, id dotterelpulley.EndpointID, hash PrefixHash) {
	if index, ok := p.indexes[id]; ok {
		p.prefixes.add(now, hash, index)
	}
}

// Evicted records that an endpoint reported the prefix as evicted.
func (p *Picker) Evicted(id dotterelpulley.EndpointID, hash PrefixHash) {
	if index, ok := p.indexes[id]; ok {
		p.prefixes.remove(hash, index)
	}
}

// Load returns the estimated number of requests of all hosts on the endpoint.
func (p *Picker) Load(now time.Time, id dotterelpulley.EndpointID) float64 {
	e := p.endpoint(id)
	if e == nil {
		return 0
	}
	return e.load(now, p.pool(e.Service).hosts)
}

// Slots returns the sum of the limits of the service's usable endpoints.
func (p *Picker) Slots(now time.Time, id dotterelpulley.ServiceID) float64 {
	total := 0.0
	for _, index := range p.pool(id).members {
		if e := p.endpoints[index]; e.usable(now) {
			total += e.limit
		}
	}
	return total
}
