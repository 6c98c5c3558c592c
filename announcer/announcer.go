package announcer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// baseInterval is the time between two digests of a host. It is short compared to the second or two for which a run
	// occupies its slot.
	baseInterval = 75 * time.Millisecond
	// largeFleet is the number of peers from which on largeFleetInterval applies, as hundreds of hosts would spend more on
	// digests than on requests.
	largeFleet         = 128
	largeFleetInterval = 150 * time.Millisecond
	// fullMeshLimit is the number of peers up to which a host sends each digest to all of them.
	fullMeshLimit = 16
	// sameZoneTargets is how many targets of a brief digest are in the sender's own zone.
	sameZoneTargets = 12
	// fullDigestInterval makes one in so many digests of a larger fleet a full one, to limit traffic between zones.
	fullDigestInterval = 4
	// startupDigests is how many digests after a start are full in any fleet, which covers some seconds. The peers
	// have no usage counts of the host until then.
	startupDigests = 40
	// baseSilenceTimeout is the time without a digest after which, in a full mesh, a host is no longer listed to callers.
	baseSilenceTimeout = 900 * time.Millisecond
	// forgetAfter is the time without a digest after which a host is removed and no longer sent any.
	forgetAfter = 20 * time.Second
	// rememberFor is how long a removed host that didn't say that it left still counts as one that may be running, beyond the
	// reach of this one.
	rememberFor = 10 * time.Minute
	// maxMembers limits the hosts that are known by their own digests, many times the hosts of a large site.
	maxMembers = 4096
	// retryInterval is the minimum time between two digests to a silent host.
	retryInterval = time.Second
)

// Member is what this host knows of a peer.
type Member struct {
	Digest
	// LastHeard is when its last digest arrived; zero if none has arrived yet.
	LastHeard time.Time
	// addedAt is when the host was added, lastTried when it was last sent a digest while silent.
	addedAt   time.Time
	lastTried time.Time
	// lastChange is the number of the last change received from this start of the host.
	lastChange uint64
}

// Interval returns the time until the next digest of this host.
func (a *Announcer) Interval() time.Duration {
	if len(a.members) >= largeFleet {
		return largeFleetInterval
	}
	return baseInterval
}

// Brief reports whether the digest with this sequence number leaves out slowly changing fields, as it does in large fleets.
func (a *Announcer) Brief(sequence uint64) bool {
	return len(a.members) > fullMeshLimit && sequence > startupDigests && sequence%fullDigestInterval != 0
}

// Announcer is one host's view of its peers; set Self before the first call.
type Announcer struct {
	Self Host
	// Seed seeds the random choice of targets in large fleets.
	Seed uint64

	detector
	random  *rand.Rand
	members map[dotterelpulley.HostID]*Member
	// zones holds the zones of the members by peer address.
	zones map[dotterelpulley.Address]dotterelpulley.ZoneID
	// removed holds when hosts were removed that may still be running.
	removed map[dotterelpulley.HostID]time.Time
	// seeds holds addresses whose host is unknown, with the time of the last attempt.
	seeds map[dotterelpulley.Address]time.Time
}

func (a *Announcer) init() {
	if a.members == nil {
		a.random = rand.New(rand.NewPCG(a.Seed, a.Seed))
		a.members = map[dotterelpulley.HostID]*Member{}
		a.zones = map[dotterelpulley.Address]dotterelpulley.ZoneID{}
		a.seeds = map[dotterelpulley.Address]time.Time{}
		a.removed = map[dotterelpulley.HostID]time.Time{}
		a.detector.init(a.Seed)
	}
}

// AddHost adds a host that may be running.
func (a *Announcer) AddHost(now time.Time, h Host) {
	a.init()
	if h.ID == a.Self.ID {
		return
	}
	m, ok := a.members[h.ID]
	if !ok {
		m = &Member{addedAt: now}
		a.members[h.ID] = m
	}
	if m.LastHeard.IsZero() {
		m.Host = h
	}
}

// AddSeed adds an address at which a host may listen.
func (a *Announcer) AddSeed(address dotterelpulley.Address) {
	a.init()
	if address != a.Self.PeerAddress {
		a.seeds[address] = time.Time{}
	}
}

// Receive processes a digest and reports whether it is new and whether its host was unknown or silent before.
func (a *Announcer) Receive(now time.Time, d Digest) (fresh, appeared bool) {
	a.init()
	if d.ID == a.Self.ID {
		return false, false
	}
	delete(a.seeds, d.PeerAddress)
	m, ok := a.members[d.ID]
	if d.Brief && (!ok || m.Start != d.Start) {
		// Brief digests lack the addresses; the next full digest has them.
		return false, false
	}
	if !ok && len(a.members) >= maxMembers {
		return false, false
	}
	if !ok {
		m = &Member{addedAt: now}
		a.members[d.ID] = m
	}
	if !m.LastHeard.IsZero() && m.outdates(d) {
		return false, false
	}
	appeared = !a.active(now, m)
	a.cleared(d.ID, d.Incarnation)
	if d.Brief {
		d.Host = m.Host
	}
	if d.Start != m.Start {
		m.lastChange = 0
	}
	if d.PeerAddress != m.PeerAddress {
		delete(a.zones, m.PeerAddress)
	}
	m.Digest, m.LastHeard = d, now
	a.zones[d.PeerAddress] = d.Zone
	return true, appeared
}

// outdates reports whether the digest is older than the last one, or from another start without a higher incarnation.
func (m *Member) outdates(d Digest) bool {
	if d.Incarnation != m.Incarnation {
		return d.Incarnation < m.Incarnation
	}
	return d.Start != m.Start || d.Sequence <= m.Sequence
}

// Correct returns the correction to send to a host whose digest was not accepted because another start of it is known.
func (a *Announcer) Correct(d Digest) (Correction, bool) {
	m, ok := a.members[d.ID]
	if !ok || m.LastHeard.IsZero() || d.Start == m.Start || d.Incarnation > m.Incarnation {
		return Correction{}, false
	}
	return Correction{Host: d.ID, Start: m.Start, Incarnation: m.Incarnation}, true
}

// Identity is what a host says of its own starts.
type Identity struct {
	Start       uint64
	Incarnation uint64
	// Sequence counts the digests of the incarnation.
	Sequence uint64
	// changes counts the changes of the start.
	changes uint64
}

// Accept raises the incarnation above one that another start of the host has used, and reports whether it did.
func (i *Identity) Accept(c Correction) bool {
	if c.Start == i.Start || c.Incarnation < i.Incarnation {
		return false
	}
	i.Incarnation, i.Sequence = c.Incarnation+1, 0
	return true
}

// Refute raises the incarnation above the one under which the host is suspected.
func (i *Identity) Refute() {
	i.Incarnation++
}

// SilenceTimeout returns the time without a digest after which a host counts as silent. It grows with the fleet
// above fullMeshLimit, as each digest then reaches only some of the peers; probes notice a failed host sooner.
func (a *Announcer) SilenceTimeout() time.Duration {
	if n := len(a.members); n > fullMeshLimit {
		return baseSilenceTimeout * time.Duration(n) / fullMeshLimit
	}
	return baseSilenceTimeout
}

// active reports whether the host has been heard and hasn't failed since: by its silence where each digest reaches all
// hosts, and by probes in larger fleets, where a running host may be silent for long.
func (a *Announcer) active(now time.Time, m *Member) bool {
	limit := forgetAfter
	if len(a.members) <= fullMeshLimit {
		limit = a.SilenceTimeout()
	}
	return !m.LastHeard.IsZero() && now.Sub(m.LastHeard) <= limit && a.Health(now, m.ID) != Failed
}

// Targets returns the addresses to send this host's digest to.
func (a *Announcer) Targets(now time.Time, d Digest) []dotterelpulley.Address {
	a.init()
	var active []*Member
	var targets []dotterelpulley.Address
	for id, m := range a.members {
		last := m.LastHeard
		if last.IsZero() {
			last = m.addedAt
		}
		switch {
		case now.Sub(last) > forgetAfter:
			delete(a.members, id)
			delete(a.suspected, id)
			delete(a.zones, m.PeerAddress)
			if m.State != Left {
				a.removed[id] = now
			}
		case m.State == Left && now.Sub(last) < retryInterval:
		case !a.active(now, m):
			if now.Sub(m.lastTried) >= retryInterval {
				m.lastTried = now
				targets = append(targets, m.PeerAddress)
			}
		default:
			active = append(active, m)
		}
	}
	for address, lastTried := range a.seeds {
		if now.Sub(lastTried) >= retryInterval {
			a.seeds[address] = now
			targets = append(targets, address)
		}
	}
	if len(active) > fullMeshLimit {
		slices.SortFunc(active, func(x, y *Member) int { return cmp.Compare(x.ID, y.ID) })
		a.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
		active = a.selectTargets(active, d)
	}
	for _, m := range active {
		targets = append(targets, m.PeerAddress)
	}
	slices.Sort(targets)
	return targets
}

// selectTargets returns the members to send a digest to when there are too many to send it to all.
//
// Brief digests go mostly to the own zone: they carry the host's running requests, which matter most to hosts that
// place work on the same endpoints, and traffic between zones costs more.
func (a *Announcer) selectTargets(active []*Member, d Digest) []*Member {
	if !d.Brief {
		return active[:fullMeshLimit]
	}
	near, far := sameZoneTargets, fullMeshLimit-sameZoneTargets
	return slices.DeleteFunc(active, func(m *Member) bool {
		remaining := &far
		if m.Zone == a.Self.Zone {
			remaining = &near
		}
		*remaining--
		return *remaining < 0
	})
}

// Zone returns the zone of the member with the peer address; empty if none is known there.
func (a *Announcer) Zone(address dotterelpulley.Address) dotterelpulley.ZoneID {
	return a.zones[address]
}

// Member returns what is known of a peer.
func (a *Announcer) Member(id dotterelpulley.HostID) (Member, bool) {
	m, ok := a.members[id]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// ActiveMembers returns the peers that are neither silent nor have left, sorted by id.
func (a *Announcer) ActiveMembers(now time.Time) []Member {
	var active []Member
	for _, m := range a.members {
		if a.active(now, m) && m.State != Left {
			active = append(active, *m)
		}
	}
	slices.SortFunc(active, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return active
}

// HeardCount returns the number of hosts from which a digest has arrived, plus this one.
func (a *Announcer) HeardCount() int {
	n := 1
	for _, m := range a.members {
		if !m.LastHeard.IsZero() {
			n++
		}
	}
	return n
}

// ExpectedCount returns the number of known hosts that have not left, including this one and those not heard yet.
func (a *Announcer) ExpectedCount() int {
	n := 1
	for _, m := range a.members {
		if m.State != Left {
			n++
		}
	}
	return n
}

// PossibleCount returns the number of hosts that may be running, including this one: those known that have not left, and those
// removed lately, which may run beyond the reach of this host.
func (a *Announcer) PossibleCount(now time.Time) int {
	n := a.ExpectedCount()
	for id, at := range a.removed {
		if _, known := a.members[id]; known || now.Sub(at) > rememberFor {
			delete(a.removed, id)
			continue
		}
		n++
	}
	return n
}
