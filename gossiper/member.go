package gossiper

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Heartbeat only rises, also over a host's restarts.
type Heartbeat uint64

// State is what is known of a member.
type State int

// The states of a member.
const (
	Alive State = iota
	Suspect
	Draining
)

var stateNames = [...]string{"live", "suspect", "draining"}

// String returns the state's name on the wire.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state-%d", int(s))
	}
	return stateNames[s]
}

// ParseState returns the state of that name, Live for an unknown one.
func ParseState(name string) State {
	for s, known := range stateNames {
		if known == name {
			return State(s)
		}
	}
	return Alive
}

// Member is an entry host as gossip tells of it.
type Member struct {
	Host        dotterelpulley.HostID
	Incarnation dotterelpulley.Incarnation
	Heartbeat   Heartbeat
	State       State
	// Load is the share of its capacity that the host uses.
	Load float64
	// PeerAddress, Caller and Zone are told by the host itself only, not by others.
	PeerAddress   dotterelpulley.Address
	CallerAddress dotterelpulley.Address
	Zone          dotterelpulley.ZoneID
}

// member is what this host knows of another.
type member struct {
	Member
	// heard is when the heartbeat last rose.
	heard time.Time
	// sent counts how often the newest heartbeat was passed on.
	sent int
	// back tells that the newest heartbeat ended a suspicion.
	back bool
	// listed tells whether the host list has the host.
	listed bool
	// failures counts exchanges with the host that failed in a row.
	failures int
}

// merge takes news of the member over and reports whether its heartbeat rose.
func (m *member) merge(now time.Time, news Member) bool {
	if news.Heartbeat <= m.Heartbeat {
		return false
	}
	before := m.Member
	m.Member = news
	m.State = before.State
	if news.PeerAddress == "" {
		m.PeerAddress, m.CallerAddress, m.Zone = before.PeerAddress, before.CallerAddress, before.Zone
	}
	m.heard = now
	m.sent = 0
	m.failures = 0
	return true
}

// tell adds the member to the message unless that was done often enough; it reports whether there was room.
func (m *member) tell(message *Message, room *int) bool {
	if m.Heartbeat == 0 || m.sent >= hotSends {
		m.back = false
		return true
	}
	told := Member{Host: m.Host, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, Load: m.Load}
	if *room < told.bytes() {
		return false
	}
	*room -= told.bytes()
	m.sent++
	message.Members = append(message.Members, told)
	return true
}
