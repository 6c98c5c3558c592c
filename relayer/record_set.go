package relayer

import (
	"cmp"
	"slices"
)

// Sequence numbers the changes of one record set.
type Sequence uint64

// Record is an endpoint's registration; an empty value means that it was removed.
type Record struct {
	Key   string
	Value []byte
	// Written is the offset after the record in the store's log, within its era; zero if the sender doesn't tell.
	Written int64
}

// Changes lists what has changed in a record set since a sequence number.
type Changes struct {
	// Full is true if Records holds all records rather than only the changed ones.
	Full    bool
	Records []Record
	// Next is the sequence number to continue from.
	Next Sequence
}

// maxRemovals bounds the removals that a record set remembers; a follower that missed an older one gets all records.
const maxRemovals = 1024

// RecordSet is a set of records with the sequence of their changes; the zero value is empty.
type RecordSet struct {
	last     Sequence
	records  map[string]sequencedRecord
	removals []removal
	// oldestComplete is the oldest sequence number since which all removals are known.
	oldestComplete Sequence
}

type sequencedRecord struct {
	Record
	sequence Sequence
}

type removal struct {
	key      string
	sequence Sequence
}

// Put adds or replaces a record.
func (s *RecordSet) Put(r Record) {
	if s.records == nil {
		s.records = map[string]sequencedRecord{}
	}
	s.last++
	s.records[r.Key] = sequencedRecord{Record: r, sequence: s.last}
	s.removals = slices.DeleteFunc(s.removals, func(removed removal) bool { return removed.key == r.Key })
}

// Remove removes a record.
func (s *RecordSet) Remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	s.last++
	delete(s.records, key)
	s.removals = append(s.removals, removal{key: key, sequence: s.last})
	if extra := len(s.removals) - maxRemovals; extra > 0 {
		s.oldestComplete = s.removals[extra-1].sequence
		s.removals = slices.Clone(s.removals[extra:])
	}
}

// LastSequence returns the sequence number of the latest change.
func (s *RecordSet) LastSequence() Sequence {
	return s.last
}

// ChangesSince returns what has changed after the sequence number.
func (s *RecordSet) ChangesSince(from Sequence) Changes {
	changes := Changes{Next: s.last, Full: from == 0 || from < s.oldestComplete || from > s.last}
	var changed []sequencedRecord
	for _, r := range s.records {
		if changes.Full || r.sequence > from {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(x, y sequencedRecord) int { return cmp.Compare(x.sequence, y.sequence) })
	for _, r := range changed {
		changes.Records = append(changes.Records, r.Record)
	}
	if changes.Full {
		return changes
	}
	for _, removed := range s.removals {
		if removed.sequence > from {
			changes.Records = append(changes.Records, Record{Key: removed.key})
		}
	}
	return changes
}
