package claimer

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type claimEntry struct {
	incarnation dotterelpulley.Incarnation
	claimed     int64
	released    int64
}

type timedHash struct {
	hash KeyHash
	at   time.Time
}

// claimIndex holds the claims on the log for the lifetime of a key.
type claimIndex struct {
	next         Offset
	entries      map[KeyHash][]claimEntry
	byTime       []timedHash
	lastAppended map[KeyHash]time.Time
}

func (x *claimIndex) apply(stored StoredClaimsRecord) {
	if stored.Offset < x.next {
		return
	}
	x.next = stored.Offset + 1
	if x.entries == nil {
		x.entries = map[KeyHash][]claimEntry{}
		x.lastAppended = map[KeyHash]time.Time{}
	}
	for _, h := range stored.Claimed {
		e := x.entry(h, stored.Incarnation)
		e.claimed = max(e.claimed, stored.Sequence)
		x.byTime = append(x.byTime, timedHash{hash: h, at: stored.Appended})
		x.lastAppended[h] = stored.Appended
	}
	for _, h := range stored.Released {
		e := x.entry(h, stored.Incarnation)
		e.released = max(e.released, stored.Sequence)
		x.byTime = append(x.byTime, timedHash{hash: h, at: stored.Appended})
		x.lastAppended[h] = stored.Appended
	}
}

func (x *claimIndex) entry(h KeyHash, id dotterelpulley.Incarnation) *claimEntry {
	list := x.entries[h]
	for i := range list {
		if list[i].incarnation == id {
			return &list[i]
		}
	}
	x.entries[h] = append(list, claimEntry{incarnation: id})
	return &x.entries[h][len(list)]
}

// claimant returns an incarnation that may have run the key.
func (x *claimIndex) claimant(h KeyHash) (dotterelpulley.Incarnation, bool) {
	for _, e := range x.entries[h] {
		if e.claimed > 0 && e.claimed >= e.released {
			return e.incarnation, true
		}
	}
	return "", false
}

// prune removes the keys that were last claimed or released before the time.
func (x *claimIndex) prune(before time.Time) {
	n := 0
	for n < len(x.byTime) && x.byTime[n].at.Before(before) {
		h := x.byTime[n].hash
		if x.lastAppended[h].Before(before) {
			delete(x.entries, h)
			delete(x.lastAppended, h)
		}
		n++
	}
	x.byTime = x.byTime[n:]
}
