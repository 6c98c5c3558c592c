package gossiper

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Heartbeat only increases, also across restarts of a host.
type Heartbeat uint64

// State is the state of a member.
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

// ParseState returns the state of that name, or Alive if the name is unknown.
func ParseState(name string) State {
	for s, known := range stateNames {
		if known == name {
			return State(s)
		}
	}
	return Alive
}

// Member is an entry host's entry in a gossip message.
type Member struct {
	Host        dotterelpulley.HostID
	Incarnation dotterelpulley.Incarnation
	Heartbeat   Heartbeat
	State       State
	// Load is the share of its capacity that the host uses.
	Load float64
	// PeerAddress, CallerAddress and Zone are only sent by the host itself.
	PeerAddress   dotterelpulley.Address
	CallerAddress dotterelpulley.Address
	Zone          dotterelpulley.ZoneID
}

// member is what this host knows of a peer.
type member struct {
	Member
	// lastHeard is when the heartbeat last increased.
	lastHeard time.Time
	// sent counts how often the newest heartbeat was sent.
	sent int
	// refuted is true if the newest heartbeat ended a suspicion.
	refuted bool
	// listed is true if the host list contains the host.
	listed bool
	// failures counts consecutive failed exchanges with the host.
	failures int
}

// merge applies an update of the member and reports whether its heartbeat increased.
func (m *member) merge(now time.Time, update Member) bool {
	if update.Heartbeat <= m.Heartbeat {
		return false
	}
	before := m.Member
	m.Member = update
	m.State = before.State
	if update.PeerAddress == "" {
		m.PeerAddress, m.CallerAddress, m.Zone = before.PeerAddress, before.CallerAddress, before.Zone
	}
	m.lastHeard = now
	m.sent = 0
	m.failures = 0
	return true
}

// addTo adds the member to the message unless its heartbeat was sent often enough; it returns false if there is no room.
func (m *member) addTo(message *Message, room *int) bool {
	if m.Heartbeat == 0 || m.sent >= maxPrioritySends {
		m.refuted = false
		return true
	}
	entry := Member{Host: m.Host, Incarnation: m.Incarnation, Heartbeat: m.Heartbeat, Load: m.Load}
	if *room < entry.bytes() {
		return false
	}
	*room -= entry.bytes()
	m.sent++
	message.Members = append(message.Members, entry)
	return true
}
