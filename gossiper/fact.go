package gossiper

import (
	"bytes"
	"time"
)

// Kind is the kind of a fact.
type Kind string

// The kinds of fact that hosts act on.
const (
	KindBadVersion      Kind = "bad-version"
	KindLeavingEndpoint Kind = "leaving-endpoint"
	KindCrash           Kind = "crash"
	KindDrainingHost    Kind = "draining-host"
	KindSuspectHost     Kind = "suspect-host"
)

// critical lists the kinds that are spread immediately.
var critical = map[Kind]bool{
	KindBadVersion:      true,
	KindLeavingEndpoint: true,
	KindCrash:           true,
	KindDrainingHost:    true,
	KindSuspectHost:     true,
}

// Fact is a replicated value whose revision only increases: a higher revision replaces a lower one.
type Fact struct {
	Kind     Kind
	Subject  string
	Revision int64
	Value    []byte
	Expires  time.Time
}

// FactID identifies the subject of a fact.
type FactID struct {
	Kind    Kind
	Subject string
}

// ID returns the fact's identifier, which all its revisions share.
func (f Fact) ID() FactID {
	return FactID{Kind: f.Kind, Subject: f.Subject}
}

// supersedes reports whether the fact replaces the other; the order is total, so all hosts agree on it.
func (f Fact) supersedes(other Fact) bool {
	if f.Revision != other.Revision {
		return f.Revision > other.Revision
	}
	if c := bytes.Compare(f.Value, other.Value); c != 0 {
		return c > 0
	}
	return f.Expires.After(other.Expires)
}

// fact is a fact with this host's bookkeeping.
type fact struct {
	Fact
	// sent counts how often the fact was sent.
	sent int
}
