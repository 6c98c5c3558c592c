package director

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Caller identifies a caller, for example by its IP address; it seeds the caller's own order.
type Caller string

// State is the state of an entry host.
type State int

// The states of an entry host.
const (
	Alive State = iota
	Suspect
	Leaving
)

// Host is an entry host that may be listed to callers.
type Host struct {
	ID      dotterelpulley.HostID
	Address dotterelpulley.Address
	Zone    dotterelpulley.ZoneID
	State   State
	// Load is the share of its capacity that the host uses.
	Load float64
}

const (
	// DefaultMaxHosts is the default number of hosts listed to a caller.
	DefaultMaxHosts = 4
	// overloadThreshold is the load from which a host may be left out.
	overloadThreshold = 0.8
	// maxLoadRatio is the ratio of an overloaded host's load to the mean above which it is left out.
	maxLoadRatio = 1.25
	// maxZoneLoadRatio is the ratio of an overloaded zone's load to the mean above which its hosts are mixed
	// with those of other zones.
	maxZoneLoadRatio = 1.5
	// minWeight is the weight of a host at full load.
	minWeight = 0.1
)

// Director orders entry hosts for callers; the zero value is ready to use.
type Director struct {
	// MaxHosts bounds the number of hosts listed to a caller; 4 if zero.
	MaxHosts int
}

// Order returns the hosts for the caller to try, in order. Hosts of the caller's zone come first unless they are
// overloaded. Leaving hosts are left out; overloaded and suspect hosts only as long as there are others.
func (d Director) Order(caller Caller, zone dotterelpulley.ZoneID, hosts []Host) []Host {
	candidates := eligible(hosts)
	sameZoneFirst := preferZone(candidates, zone)
	keys := make(map[dotterelpulley.HostID]float64, len(candidates))
	for _, h := range candidates {
		keys[h.ID] = sortKey(caller, h)
	}
	slices.SortFunc(candidates, func(a, b Host) int {
		if sameZoneFirst && (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(keys[a.ID], keys[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	limit := d.MaxHosts
	if limit <= 0 {
		limit = DefaultMaxHosts
	}
	return candidates[:min(limit, len(candidates))]
}

// eligible returns the alive hosts, or the suspects if there are none, without those that are far more loaded than the rest.
func eligible(hosts []Host) []Host {
	alive := filter(hosts, func(h Host) bool { return h.State == Alive })
	if len(alive) == 0 {
		alive = filter(hosts, func(h Host) bool { return h.State == Suspect })
	}
	mean := meanLoad(alive)
	candidates := filter(alive, func(h Host) bool {
		return h.Load < overloadThreshold || h.Load <= maxLoadRatio*mean
	})
	if len(candidates) == 0 {
		return alive
	}
	return candidates
}

func filter(hosts []Host, matches func(Host) bool) []Host {
	var matching []Host
	for _, h := range hosts {
		if matches(h) {
			matching = append(matching, h)
		}
	}
	return matching
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

// preferZone reports whether the zone's hosts can serve the zone's callers alone.
func preferZone(hosts []Host, zone dotterelpulley.ZoneID) bool {
	zoneHosts := filter(hosts, func(h Host) bool { return h.Zone == zone })
	if len(zoneHosts) == 0 {
		return false
	}
	load := meanLoad(zoneHosts)
	return load < overloadThreshold || load <= maxZoneLoadRatio*meanLoad(hosts)
}

// sortKey returns the host's rank for the caller: a weighted random draw that is the same on all hosts.
func sortKey(caller Caller, h Host) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(caller) + "\x00" + string(h.ID))
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / max(1-h.Load, minWeight)
}
