package standin

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Log simulates the log service; the zero value keeps every record.
type Log struct {
	server
	// Retention is the age at which a record expires; records never expire if zero.
	Retention time.Duration
	// MaxRecords is the maximum number of records in a stream; unlimited if zero.
	MaxRecords int

	stateMu         sync.Mutex
	streams         map[string]*stream
	stats           wireStats
	currentSecond   int64
	appendsInSecond int64
}

// Start serves the log on the address.
func (l *Log) Start(address dotterelpulley.Address) error {
	l.streams = map[string]*stream{}
	return l.start(address, l.routes)
}

// stream is one append-only stream; offsets start at 1.
type stream struct {
	records  []wireRecord
	first    int64
	appended chan struct{}
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.records))
}

func (s *stream) expire(now time.Time, retention time.Duration, maxRecords int) {
	expired := 0
	if maxRecords > 0 {
		expired = max(0, len(s.records)-maxRecords)
	}
	for retention > 0 && expired < len(s.records) && now.Sub(s.records[expired].Appended) > retention {
		expired++
	}
	s.records = s.records[expired:]
	s.first += int64(expired)
}

// stream returns the named stream after dropping expired records; l.stateMu must be held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	s.expire(time.Now(), l.Retention, l.MaxRecords)
	return s
}

// Append appends the records and returns the offset of the first.
func (l *Log) Append(name string, records ...[]byte) int64 {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	now := time.Now()
	s := l.stream(name)
	first := s.next()
	for _, data := range records {
		s.records = append(s.records, wireRecord{Offset: s.next(), Appended: now, Data: data})
		l.stats.BytesAppended += int64(len(data))
	}
	l.countAppend(now, int64(len(records)))
	close(s.appended)
	s.appended = make(chan struct{})
	return first
}

func (l *Log) countAppend(now time.Time, records int64) {
	l.stats.Appends++
	l.stats.Records += records
	if now.Unix() != l.currentSecond {
		l.currentSecond = now.Unix()
		l.appendsInSecond = 0
	}
	l.appendsInSecond++
	l.stats.BusiestSecond = max(l.stats.BusiestSecond, l.appendsInSecond)
}

// Damage corrupts a record and reports whether the stream has one at the offset.
func (l *Log) Damage(name string, offset int64) bool {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	index := offset - s.first
	if index < 0 || index >= int64(len(s.records)) {
		return false
	}
	damaged := append([]byte(nil), s.records[index].Data...)
	for i := range damaged {
		damaged[i] ^= 0xff
	}
	s.records[index].Data = damaged
	return true
}

// page returns up to limit records from the offset on, and a channel that is closed at the next append.
func (l *Log) page(name string, from int64, limit int) (wirePage, <-chan struct{}) {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	s := l.stream(name)
	l.stats.Reads++
	from = max(from, s.first)
	start := min(from-s.first, int64(len(s.records)))
	records := s.records[start:]
	records = records[:min(limit, len(records))]
	page := wirePage{Records: append([]wireRecord{}, records...), First: s.first, Next: s.first + start + int64(len(records))}
	for _, r := range records {
		l.stats.BytesRead += int64(len(r.Data))
	}
	return page, s.appended
}
