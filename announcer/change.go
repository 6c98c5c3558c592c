package announcer

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

const (
	// MinChangeInterval is the shortest time between two changes of a host in a full mesh: a few requests start or end within
	// it under load, and a slot is held much longer.
	MinChangeInterval = 10 * time.Millisecond
	// transitTime is the time that a message takes to another availability zone, its handling included.
	transitTime = 5 * time.Millisecond
)

// Change is what has changed in a host's loads since its last digest or change.
type Change struct {
	Host  dotterelpulley.HostID
	Start uint64
	// Sequence is that of the host's last digest, Number counts the changes since its start.
	Sequence uint64
	Number   uint64
	// Loads holds the loads that have changed; Waiting and DeadEndpoints replace those of the digest.
	Loads         []Load
	Waiting       []Waiting
	DeadEndpoints []uint32
}

// Field numbers of a change on the wire.
const (
	fieldChangeHost fields.Number = iota + 1
	fieldChangeStart
	fieldChangeSequence
	fieldChangeNumber
	fieldChangeLoad
	fieldChangeWaiting
	fieldChangeDead
)

// Encode returns the change in the protocol buffers wire format.
func (c Change) Encode() []byte {
	b := fields.AppendBytes(nil, fieldChangeHost, []byte(c.Host))
	b = fields.AppendNumber(b, fieldChangeStart, c.Start)
	b = fields.AppendNumber(b, fieldChangeSequence, c.Sequence)
	b = fields.AppendNumber(b, fieldChangeNumber, c.Number)
	for _, l := range c.Loads {
		b = l.append(b, fieldChangeLoad)
	}
	for _, w := range c.Waiting {
		b = w.append(b, fieldChangeWaiting)
	}
	for _, key := range c.DeadEndpoints {
		b = fields.AppendNumber(b, fieldChangeDead, uint64(key))
	}
	return fields.AppendBytes(nil, fieldChange, b)
}

func decodeChange(b []byte) (Message, error) {
	var c Change
	err := fields.Each(b, func(n fields.Number, v uint64) {
		switch n {
		case fieldChangeStart:
			c.Start = v
		case fieldChangeSequence:
			c.Sequence = v
		case fieldChangeNumber:
			c.Number = v
		case fieldChangeDead:
			c.DeadEndpoints = append(c.DeadEndpoints, uint32(v))
		}
	}, func(n fields.Number, v []byte) error {
		switch n {
		case fieldChangeHost:
			c.Host = dotterelpulley.HostID(v)
		case fieldChangeLoad:
			l, err := decodeLoad(v)
			c.Loads = append(c.Loads, l)
			return err
		case fieldChangeWaiting:
			w, err := decodeWaiting(v)
			c.Waiting = append(c.Waiting, w)
			return err
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("decode change: %w", err)
	}
	if c.Host == "" {
		return nil, errors.New("decode change: no host id")
	}
	return c, nil
}

// ChangeInterval returns the shortest time between two changes of this host; zero means that the fleet is too large for them.
func (a *Announcer) ChangeInterval() time.Duration {
	switch n := len(a.members); {
	case n >= largeFleet:
		return 0
	case n > fullMeshLimit:
		return MinChangeInterval * time.Duration(n) / fullMeshLimit
	}
	return MinChangeInterval
}

// ReportDelay returns the time until another host knows of a change in this host's loads.
func (a *Announcer) ReportDelay() time.Duration {
	if len(a.members) > fullMeshLimit {
		return 0
	}
	return a.ChangeInterval() + transitTime
}

// NextChange numbers a change of this host.
func (i *Identity) NextChange(self dotterelpulley.HostID) Change {
	i.changes++
	return Change{Host: self, Start: i.Start, Sequence: i.Sequence, Number: i.changes}
}

// ReceiveChange reports whether the change is newer than all that is known of its host.
func (a *Announcer) ReceiveChange(c Change) bool {
	m, ok := a.members[c.Host]
	if !ok || m.LastHeard.IsZero() || m.Start != c.Start || c.Sequence < m.Sequence || c.Number <= m.lastChange {
		return false
	}
	m.lastChange = c.Number
	return true
}

// ChangeTargets returns the addresses to send a change to: those of all active members, or in a larger fleet mostly those of
// the own availability zone.
func (a *Announcer) ChangeTargets(now time.Time) []dotterelpulley.Address {
	var active []*Member
	for _, m := range a.members {
		if a.active(now, m) && m.State != Left {
			active = append(active, m)
		}
	}
	if len(active) > fullMeshLimit {
		slices.SortFunc(active, func(x, y *Member) int { return cmp.Compare(x.ID, y.ID) })
		a.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
		active = a.selectTargets(active, Digest{Brief: true})
	}
	targets := make([]dotterelpulley.Address, 0, len(active))
	for _, m := range active {
		targets = append(targets, m.PeerAddress)
	}
	slices.Sort(targets)
	return targets
}
