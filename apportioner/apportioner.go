package apportioner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Rate is a number of requests per second.
type Rate float64

// Key identifies what is divided, the same on all hosts: one start of an endpoint.
type Key uint32

// ServiceKey identifies a service, the same on all hosts.
type ServiceKey uint32

const (
	// minRate is the rate that is divided at least, so that the end of a limit is noticed by the answer to a request.
	minRate Rate = 0.2
	// extraSharers is the number of hosts that share an endpoint's limit beside one for each request per second. A host may
	// have saved up one request, so together they may send that many at once.
	extraSharers = 1
	// reportTime is how long after this host's own observation it reports it to the others, several of their reporting intervals
	// in a fleet of hundreds of hosts.
	reportTime = 10 * time.Second
	// limitMemory is how long a limit is remembered that no answer has confirmed.
	limitMemory = 10 * time.Minute
	// brittleMemory is how long a service counts as brittle after the last answer that said so, longer than its endpoints take to
	// come back after they have all failed.
	brittleMemory = 15 * time.Second
	// maxReported is the number of limits in a report; the reports take turns if there are more.
	maxReported = 16
	// placeReserve is the fraction of an endpoint's places that all hosts leave free, for connections that hold one before their
	// request.
	placeReserve = 0.1
)

// Limit is an endpoint's limit as last observed.
type Limit struct {
	Key Key
	// PerSecond is the rate that the endpoint takes from all hosts together.
	PerSecond Rate
	// Lifted means that the endpoint no longer has a limit.
	Lifted bool
	// Age is the time since the observation.
	Age time.Duration
}

// Brittle is a service whose endpoints say that they fail when they have to turn many requests away.
type Brittle struct {
	Service ServiceKey
	// Age is the time since an endpoint last said so.
	Age time.Duration
}

// Report is what a host has observed itself.
type Report struct {
	Limits  []Limit
	Brittle []Brittle
}

// Apportioner is one host's view of limits and brittle services, and its shares; set Self before the first call.
type Apportioner struct {
	Self dotterelpulley.HostID

	// hosts are those that take part, this one included if it does.
	hosts   []dotterelpulley.HostID
	limits  map[Key]observedLimit
	brittle map[ServiceKey]observation
	turn    int
}

// observation is when something was last observed, and when this host last observed it itself.
type observation struct {
	at    time.Time
	ownAt time.Time
}

type observedLimit struct {
	observation
	perSecond Rate
	lifted    bool
}

func (a *Apportioner) init() {
	if a.limits == nil {
		a.limits = map[Key]observedLimit{}
		a.brittle = map[ServiceKey]observation{}
	}
}

// SetHosts replaces the hosts that take part in the division and reports whether they have changed.
func (a *Apportioner) SetHosts(hosts []dotterelpulley.HostID) bool {
	if slices.Equal(a.hosts, hosts) {
		return false
	}
	a.hosts = slices.Clone(hosts)
	return true
}

// ObserveLimit records the limit that an endpoint named to this host, and reports whether that is news.
func (a *Apportioner) ObserveLimit(now time.Time, key Key, perSecond Rate) bool {
	return a.observe(now, key, perSecond, false)
}

// ObserveNoLimit records that an endpoint's answer to this host named no limit, and reports whether that is news.
func (a *Apportioner) ObserveNoLimit(now time.Time, key Key) bool {
	known, ok := a.limits[key]
	if !ok || known.lifted {
		return false
	}
	return a.observe(now, key, 0, true)
}

func (a *Apportioner) observe(now time.Time, key Key, perSecond Rate, lifted bool) bool {
	a.init()
	known, ok := a.limits[key]
	a.limits[key] = observedLimit{observation: observation{at: now, ownAt: now}, perSecond: perSecond, lifted: lifted}
	return !ok || known.perSecond != perSecond || known.lifted != lifted
}

// ObserveBrittle records that an endpoint of the service said to this host that it is brittle, and reports whether that is news.
func (a *Apportioner) ObserveBrittle(now time.Time, service ServiceKey) bool {
	a.init()
	news := !a.IsBrittle(now, service)
	a.brittle[service] = observation{at: now, ownAt: now}
	return news
}

// Receive applies another host's report and reports whether it changes any share.
func (a *Apportioner) Receive(now time.Time, r Report) bool {
	a.init()
	changed := false
	for _, l := range r.Limits {
		at := now.Add(-l.Age)
		known, ok := a.limits[l.Key]
		if ok && !at.After(known.at) || !ok && l.Lifted {
			continue
		}
		changed = changed || !ok || known.perSecond != l.PerSecond || known.lifted != l.Lifted
		known.at, known.perSecond, known.lifted = at, l.PerSecond, l.Lifted
		a.limits[l.Key] = known
	}
	for _, b := range r.Brittle {
		at := now.Add(-b.Age)
		known := a.brittle[b.Service]
		if !at.After(known.at) {
			continue
		}
		changed = changed || !a.IsBrittle(now, b.Service)
		known.at = at
		a.brittle[b.Service] = known
	}
	return changed
}

// Report returns what this host has observed itself lately and nobody has observed otherwise since.
func (a *Apportioner) Report(now time.Time) Report {
	var r Report
	for _, key := range slices.Sorted(maps.Keys(a.limits)) {
		if l := a.limits[key]; l.at.Equal(l.ownAt) && now.Sub(l.ownAt) <= reportTime {
			r.Limits = append(r.Limits, Limit{Key: key, PerSecond: l.perSecond, Lifted: l.lifted, Age: now.Sub(l.ownAt)})
		}
	}
	if n := len(r.Limits); n > maxReported {
		first := a.turn % n
		a.turn += maxReported
		r.Limits = append(r.Limits[first:], r.Limits[:first]...)[:maxReported]
	}
	for _, service := range slices.Sorted(maps.Keys(a.brittle)) {
		if ownAt := a.brittle[service].ownAt; !ownAt.IsZero() && now.Sub(ownAt) <= brittleMemory {
			r.Brittle = append(r.Brittle, Brittle{Service: service, Age: now.Sub(ownAt)})
		}
	}
	return r
}

// Prune forgets what no longer counts and reports whether that changes any share.
func (a *Apportioner) Prune(now time.Time) bool {
	changed := false
	maps.DeleteFunc(a.limits, func(_ Key, l observedLimit) bool {
		memory := limitMemory
		if l.lifted {
			memory = reportTime
		}
		expired := now.Sub(l.at) > memory
		changed = changed || expired && !l.lifted
		return expired
	})
	maps.DeleteFunc(a.brittle, func(_ ServiceKey, o observation) bool {
		expired := now.Sub(o.at) > brittleMemory
		changed = changed || expired
		return expired
	})
	return changed
}

// Divides reports whether anything is limited or brittle.
func (a *Apportioner) Divides() bool {
	return len(a.limits) > 0 || len(a.brittle) > 0
}

// Limit returns the limit of the endpoint; false if it has none.
func (a *Apportioner) Limit(key Key) (Rate, bool) {
	l, ok := a.limits[key]
	return l.perSecond, ok && !l.lifted
}

// IsBrittle reports whether the endpoints of the service are brittle.
func (a *Apportioner) IsBrittle(now time.Time, service ServiceKey) bool {
	o, ok := a.brittle[service]
	return ok && now.Sub(o.at) <= brittleMemory
}

// Share returns this host's share of the endpoint's limit; false if the endpoint has none.
//
// Few hosts share a low limit: each may have saved up one request, and the endpoint may get them all at once.
func (a *Apportioner) Share(key Key) (Rate, bool) {
	limit, ok := a.Limit(key)
	if !ok {
		return 0, false
	}
	limit = max(limit, minRate)
	sharers := min(extraSharers+int(min(float64(limit), math.MaxInt32)), len(a.hosts))
	if rank, ok := a.rank(key); !ok || rank >= sharers {
		return 0, true
	}
	return limit / Rate(sharers), true
}

// Places returns how many of the endpoint's places this host may fill at a time.
func (a *Apportioner) Places(key Key, places int) int {
	rank, ok := a.rank(key)
	if !ok {
		return 0
	}
	divided := max(places-int(math.Ceil(placeReserve*float64(places))), 1)
	own := divided / len(a.hosts)
	if rank < divided%len(a.hosts) {
		own++
	}
	return own
}

// rank returns this host's position in the order of the hosts for the key; false if it takes no part. It is the rendezvous
// order, in which a host that comes or goes moves the fewest shares.
func (a *Apportioner) rank(key Key) (int, bool) {
	if !slices.Contains(a.hosts, a.Self) {
		return 0, false
	}
	own := weight(a.Self, key)
	rank := 0
	for _, id := range a.hosts {
		if id != a.Self && cmp.Or(cmp.Compare(weight(id, key), own), cmp.Compare(id, a.Self)) > 0 {
			rank++
		}
	}
	return rank, true
}

func weight(id dotterelpulley.HostID, key Key) uint64 {
	digest := xxhash.NewWithSeed(uint64(key))
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
