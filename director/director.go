package director

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Caller names who asks, such as its IP address; it seeds the caller's own order.
type Caller string

// State is what is known of an entry host.
type State int

// The states of an entry host.
const (
	Alive State = iota
	Suspect
	Leaving
)

// Host is an entry host that may be told to callers.
type Host struct {
	ID      dotterelpulley.HostID
	Address dotterelpulley.Address
	Zone    dotterelpulley.ZoneID
	State   State
	// Load is the share of its capacity that the host uses.
	Load float64
}

const (
	// DefaultMaxHosts is how many hosts a caller is told.
	DefaultMaxHosts = 4
	// overloaded is the load from which a host may be left out.
	overloaded = 0.8
	// aboveMean is by how much a host's load exceeds the mean of all before it is left out.
	aboveMean = 1.25
	// zoneShare is by how much the load of a zone's hosts may exceed the mean of all
	// before other zones are mixed in.
	zoneShare = 1.5
	// leastWeight is the weight of a host at full load.
	leastWeight = 0.1
)

// Director orders entry hosts for callers; the zero value works.
type Director struct {
	// MaxHosts bounds how many hosts a caller is told; 4 if zero.
	MaxHosts int
}

// Order returns the hosts that the caller tries, in this order: near ones first, loaded, leaving
// and suspect ones left out while others are there.
func (d Director) Order(caller Caller, zone dotterelpulley.ZoneID, hosts []Host) []Host {
	fit := fitting(hosts)
	near := zoneFirst(fit, zone)
	keys := make(map[dotterelpulley.HostID]float64, len(fit))
	for _, h := range fit {
		keys[h.ID] = key(caller, h)
	}
	slices.SortFunc(fit, func(a, b Host) int {
		if near && (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(keys[a.ID], keys[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	most := d.MaxHosts
	if most <= 0 {
		most = DefaultMaxHosts
	}
	return fit[:min(most, len(fit))]
}

// fitting returns the live hosts that aren't much more loaded than the rest, or else the best there are.
func fitting(hosts []Host) []Host {
	live := pick(hosts, func(h Host) bool { return h.State == Alive })
	if len(live) == 0 {
		live = pick(hosts, func(h Host) bool { return h.State == Suspect })
	}
	mean := meanLoad(live)
	fit := pick(live, func(h Host) bool {
		return h.Load < overloaded || h.Load <= aboveMean*mean
	})
	if len(fit) == 0 {
		return live
	}
	return fit
}

func pick(hosts []Host, want func(Host) bool) []Host {
	var picked []Host
	for _, h := range hosts {
		if want(h) {
			picked = append(picked, h)
		}
	}
	return picked
}

func meanLoad(hosts []Host) float64 {
	if len(hosts) == 0 {
		return 0
	}
	sum := 0.0
	for _, h := range hosts {
		sum += h.Load
	}
	return sum / float64(len(hosts))
}

// zoneFirst reports whether the zone's hosts can take their callers alone.
func zoneFirst(hosts []Host, zone dotterelpulley.ZoneID) bool {
	near := pick(hosts, func(h Host) bool { return h.Zone == zone })
	if len(near) == 0 {
		return false
	}
	load := meanLoad(near)
	return load < overloaded || load <= zoneShare*meanLoad(hosts)
}

// key ranks the host for the caller: a weighted draw that is the same for all who ask.
func key(caller Caller, h Host) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(caller) + "\x00" + string(h.ID))
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / max(1-h.Load, leastWeight)
}
