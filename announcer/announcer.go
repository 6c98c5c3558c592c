package announcer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// Interval is the time between two digests of a host; short against the second or two for which a run holds its slot.
	Interval = 75 * time.Millisecond
	// fullMesh is the number of hosts up to which each tells all others at every interval.
	fullMesh = 16
	// nearTargets is how many of the targets of a brief digest are left to hosts of the own zone.
	nearTargets = 12
	// fullEvery is how many digests there are to one full one in a larger fleet, to spare the links between zones.
	fullEvery = 4
	// youngDigests is how many digests of a start are full in any fleet, some seconds' worth, as nobody knows its use yet.
	youngDigests = 40
	// silentAfter is the time without a digest after which a host isn't told to callers in a full mesh.
	silentAfter = 900 * time.Millisecond
	// forgetAfter is the time without a digest after which a host gets none either.
	forgetAfter = 20 * time.Second
	// retryEvery is the time between two digests to a silent host.
	retryEvery = time.Second
)

// Member is another host as this one knows it.
type Member struct {
	Digest
	// LastHeard is when its last digest came; zero for one that is only known by name.
	LastHeard time.Time
	// known is when the host was first named, tried when it was last sent to while silent.
	known time.Time
	tried time.Time
}

// Brief reports whether a host's next digest is to leave out what changes slowly, where there are many hosts.
func (a *Announcer) Brief(sequence uint64) bool {
	return len(a.members) > fullMesh && sequence > youngDigests && sequence%fullEvery != 0
}

// Announcer is one host's view of the others; set Self before the first call.
type Announcer struct {
	Self Host
	// Seed starts the random choice of targets where there are many hosts.
	Seed uint64

	random  *rand.Rand
	members map[dotterelpulley.HostID]*Member
	// seeds are addresses without a known host.
	seeds map[dotterelpulley.Address]time.Time
}

func (a *Announcer) init() {
	if a.members == nil {
		a.random = rand.New(rand.NewPCG(a.Seed, a.Seed))
		a.members = map[dotterelpulley.HostID]*Member{}
		a.seeds = map[dotterelpulley.Address]time.Time{}
	}
}

// AddHost tells of a host that may live.
func (a *Announcer) AddHost(now time.Time, h Host) {
	a.init()
	if h.ID == a.Self.ID {
		return
	}
	m, ok := a.members[h.ID]
	if !ok {
		m = &Member{known: now}
		a.members[h.ID] = m
	}
	if m.LastHeard.IsZero() {
		m.Host = h
	}
}

// AddSeed tells of an address at which a host may listen.
func (a *Announcer) AddSeed(address dotterelpulley.Address) {
	a.init()
	if address != a.Self.PeerAddress {
		a.seeds[address] = time.Time{}
	}
}

// Receive takes a digest and reports whether it is news and whether its host was unknown or silent before.
func (a *Announcer) Receive(now time.Time, d Digest) (news, back bool) {
	a.init()
	if d.ID == a.Self.ID {
		return false, false
	}
	delete(a.seeds, d.PeerAddress)
	m, ok := a.members[d.ID]
	if d.Brief && (!ok || m.Incarnation != d.Incarnation) {
		// The full one that follows tells where the host is.
		return false, false
	}
	if !ok {
		m = &Member{known: now}
		a.members[d.ID] = m
	}
	older := d.Incarnation < m.Incarnation || d.Incarnation == m.Incarnation && d.Sequence <= m.Sequence
	if !m.LastHeard.IsZero() && older {
		return false, false
	}
	back = m.LastHeard.IsZero() || now.Sub(m.LastHeard) > a.SilenceTimeout()
	if d.Brief {
		d.Host, d.Configuration = m.Host, m.Configuration
	}
	m.Digest, m.LastHeard = d, now
	return true, back
}

// SilenceTimeout is the time without a digest after which a host counts as silent, longer where only some are told.
func (a *Announcer) SilenceTimeout() time.Duration {
	if n := len(a.members); n > fullMesh {
		return silentAfter * time.Duration(n) / fullMesh
	}
	return silentAfter
}

// Targets returns where this host's digest goes now.
func (a *Announcer) Targets(now time.Time, d Digest) []dotterelpulley.Address {
	a.init()
	var live []*Member
	var targets []dotterelpulley.Address
	for id, m := range a.members {
		last := m.LastHeard
		if last.IsZero() {
			last = m.known
		}
		switch {
		case now.Sub(last) > forgetAfter:
			delete(a.members, id)
		case m.State == Left && now.Sub(last) < retryEvery:
		case m.LastHeard.IsZero() || now.Sub(m.LastHeard) > a.SilenceTimeout():
			if now.Sub(m.tried) >= retryEvery {
				m.tried = now
				targets = append(targets, m.PeerAddress)
			}
		default:
			live = append(live, m)
		}
	}
	for address, tried := range a.seeds {
		if now.Sub(tried) >= retryEvery {
			a.seeds[address] = now
			targets = append(targets, address)
		}
	}
	if len(live) > fullMesh {
		slices.SortFunc(live, func(x, y *Member) int { return cmp.Compare(x.ID, y.ID) })
		a.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		live = a.some(live, d)
	}
	for _, m := range live {
		targets = append(targets, m.PeerAddress)
	}
	slices.Sort(targets)
	return targets
}

// some returns the members that a digest goes to where there are too many for all.
//
// A brief one tells what the host runs, which hosts of its own zone need most, as they place work on the same
// endpoints; bytes between zones cost more.
func (a *Announcer) some(live []*Member, d Digest) []*Member {
	if !d.Brief {
		return live[:fullMesh]
	}
	near, far := nearTargets, fullMesh-nearTargets
	return slices.DeleteFunc(live, func(m *Member) bool {
		left := &far
		if m.Zone == a.Self.Zone {
			left = &near
		}
		*left--
		return *left < 0
	})
}

// ActiveMembers returns the other hosts that have been heard of late and have not left, by id.
func (a *Announcer) ActiveMembers(now time.Time) []Member {
	var live []Member
	for _, m := range a.members {
		if !m.LastHeard.IsZero() && now.Sub(m.LastHeard) <= a.SilenceTimeout() && m.State != Left {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, func(x, y Member) int { return cmp.Compare(x.ID, y.ID) })
	return live
}

// HeardCount returns how many hosts there may be, this one included.
func (a *Announcer) HeardCount() int {
	n := 1
	for _, m := range a.members {
		if !m.LastHeard.IsZero() {
			n++
		}
	}
	return n
}

// ExpectedCount returns how many hosts there may be, this one and those known only by name included.
func (a *Announcer) ExpectedCount() int {
	n := 1
	for _, m := range a.members {
		if m.State != Left {
			n++
		}
	}
	return n
}
