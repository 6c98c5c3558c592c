package relayer

import (
	"cmp"
	"slices"
)

// Sequence numbers the changes of one book.
type Sequence uint64

// Record is an endpoint's entry; one without a value is gone.
type Record struct {
	Key   string
	Value []byte
}

// Changes is what has changed in a book since a sequence number.
type Changes struct {
	// Full tells that Records are all there are, not only what has changed.
	Full    bool
	Records []Record
	// Next is the number from which to ask on.
	Next Sequence
}

// mostGone bounds the removals that a book remembers; who missed one gets all records.
const mostGone = 1024

// RecordSet is the set of records with the order of their changes; the zero value is empty.
type RecordSet struct {
	last    Sequence
	records map[string]numbered
	gone    []removal
	// complete is the number from which all removals are still known.
	complete Sequence
}

type numbered struct {
	Record
	at Sequence
}

type removal struct {
	key string
	at  Sequence
}

// Put adds or replaces a record.
func (b *RecordSet) Put(r Record) {
	if b.records == nil {
		b.records = map[string]numbered{}
	}
	b.last++
	b.records[r.Key] = numbered{Record: r, at: b.last}
	b.gone = slices.DeleteFunc(b.gone, func(g removal) bool { return g.key == r.Key })
}

// Remove removes a record.
func (b *RecordSet) Remove(key string) {
	if _, ok := b.records[key]; !ok {
		return
	}
	b.last++
	delete(b.records, key)
	b.gone = append(b.gone, removal{key: key, at: b.last})
	if extra := len(b.gone) - mostGone; extra > 0 {
		b.complete = b.gone[extra-1].at
		b.gone = slices.Clone(b.gone[extra:])
	}
}

// LastSequence returns the number of the latest change.
func (b *RecordSet) LastSequence() Sequence {
	return b.last
}

// ChangesSince returns what has changed after the sequence number.
func (b *RecordSet) ChangesSince(from Sequence) Changes {
	n := Changes{Next: b.last, Full: from == 0 || from < b.complete || from > b.last}
	var changed []numbered
	for _, r := range b.records {
		if n.Full || r.at > from {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(x, y numbered) int { return cmp.Compare(x.at, y.at) })
	for _, r := range changed {
		n.Records = append(n.Records, r.Record)
	}
	if n.Full {
		return n
	}
	for _, g := range b.gone {
		if g.at > from {
			n.Records = append(n.Records, Record{Key: g.key})
		}
	}
	return n
}
