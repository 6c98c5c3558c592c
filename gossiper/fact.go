package gossiper

import (
	"bytes"
	"time"
)

// Kind tells what a fact says.
type Kind string

// The kinds of fact that the hosts act on.
const (
	KindBadVersion      Kind = "bad-version"
	KindLeavingEndpoint Kind = "leaving-endpoint"
	KindCrash           Kind = "crash"
	KindDrainingHost    Kind = "draining-host"
	KindSuspectHost     Kind = "suspect-host"
)

// critical lists the kinds that are spread at once.
var critical = map[Kind]bool{
	KindBadVersion:      true,
	KindLeavingEndpoint: true,
	KindCrash:           true,
	KindDrainingHost:    true,
	KindSuspectHost:     true,
}

// Fact is something that only ever grows: a higher revision replaces a lower one.
type Fact struct {
	Kind     Kind
	Subject  string
	Revision int64
	Value    []byte
	Expires  time.Time
}

// FactID names what a fact is about.
type FactID struct {
	Kind    Kind
	Subject string
}

// ID returns what the fact is about.
func (f Fact) ID() FactID {
	return FactID{Kind: f.Kind, Subject: f.Subject}
}

// beats reports whether the fact replaces the other; all hosts agree on it.
func (f Fact) beats(other Fact) bool {
	if f.Revision != other.Revision {
		return f.Revision > other.Revision
	}
	if c := bytes.Compare(f.Value, other.Value); c != 0 {
		return c > 0
	}
	return f.Expires.After(other.Expires)
}

// fact is a fact as this host keeps it.
type fact struct {
	Fact
	// sent counts how often the fact was passed on.
	sent int
}
