package gossiper

import (
	"slices"
	"time"
)

// Stream names a stream of the log.
type Stream string

// Offset is a record's position in its stream.
type Offset int64

// Record is a record of the log that a host has read.
type Record struct {
	Stream   Stream
	Offset   Offset
	Data     []byte
	Appended time.Time
}

const (
	// maxKeptRecords bounds the number of records kept of each stream.
	maxKeptRecords = 32
	// maxRecordBytes bounds the size of a forwarded record; hosts read larger ones from the log.
	maxRecordBytes = 8 << 10
)

// tail holds the newest records of one stream.
type tail struct {
	head    Offset
	records []Record
	sent    map[Offset]int
}

// add stores the record and reports whether it is new.
func (t *tail) add(r Record) bool {
	at, known := slices.BinarySearchFunc(t.records, r.Offset, func(have Record, want Offset) int {
		return int(have.Offset - want)
	})
	if known || len(r.Data) > maxRecordBytes {
		return false
	}
	if len(t.records) == maxKeptRecords {
		if at == 0 {
			return false
		}
		delete(t.sent, t.records[0].Offset)
		t.records = slices.Delete(t.records, 0, 1)
		at--
	}
	t.records = slices.Insert(t.records, at, r)
	if t.sent == nil {
		t.sent = map[Offset]int{}
	}
	t.head = max(t.head, r.Offset)
	return true
}

// after returns the stored records with a higher offset.
func (t *tail) after(offset Offset) []Record {
	for i, r := range t.records {
		if r.Offset > offset {
			return t.records[i:]
		}
	}
	return nil
}
