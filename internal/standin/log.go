package standin

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Log stands in for the log service; the zero value keeps every record.
type Log struct {
	server
	// Retention is the age at which a record expires; never if zero.
	Retention time.Duration
	// MaxRecords is how many records a stream keeps; all if zero.
	MaxRecords int

	state   sync.Mutex
	streams map[string]*stream
	stats   wireStats
	second  int64
	inIt    int64
}

// Start serves the log on the address.
func (l *Log) Start(address dotterelpulley.Address) error {
	l.streams = map[string]*stream{}
	return l.start(address, l.routes)
}

// stream is one append-only stream; offsets start at 1.
type stream struct {
	records []wireRecord
	first   int64
	grown   chan struct{}
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.records))
}

func (s *stream) expire(now time.Time, retention time.Duration, most int) {
	n := 0
	if most > 0 {
		n = max(0, len(s.records)-most)
	}
	for retention > 0 && n < len(s.records) && now.Sub(s.records[n].Appended) > retention {
		n++
	}
	s.records = s.records[n:]
	s.first += int64(n)
}

// stream returns the stream of that name with what has expired taken out; l.state is held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	s.expire(time.Now(), l.Retention, l.MaxRecords)
	return s
}

// Append appends the records and returns the first one's offset.
func (l *Log) Append(name string, records ...[]byte) int64 {
	l.state.Lock()
	defer l.state.Unlock()
	now := time.Now()
	s := l.stream(name)
	first := s.next()
	for _, data := range records {
		s.records = append(s.records, wireRecord{Offset: s.next(), Appended: now, Data: data})
		l.stats.BytesAppended += int64(len(data))
	}
	l.count(now, int64(len(records)))
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (l *Log) count(now time.Time, records int64) {
	l.stats.Appends++
	l.stats.Records += records
	if now.Unix() != l.second {
		l.second = now.Unix()
		l.inIt = 0
	}
	l.inIt++
	l.stats.BusiestSecond = max(l.stats.BusiestSecond, l.inIt)
}

// Damage overwrites the bytes of a kept record and reports whether there was one.
func (l *Log) Damage(name string, offset int64) bool {
	l.state.Lock()
	defer l.state.Unlock()
	s := l.stream(name)
	at := offset - s.first
	if at < 0 || at >= int64(len(s.records)) {
		return false
	}
	damaged := append([]byte(nil), s.records[at].Data...)
	for i := range damaged {
		damaged[i] ^= 0xff
	}
	s.records[at].Data = damaged
	return true
}

// page returns up to limit records from the offset on, and what to wait for when there are none.
func (l *Log) page(name string, from int64, limit int) (wirePage, <-chan struct{}) {
	l.state.Lock()
	defer l.state.Unlock()
	s := l.stream(name)
	l.stats.Reads++
	from = max(from, s.first)
	start := min(from-s.first, int64(len(s.records)))
	kept := s.records[start:]
	kept = kept[:min(limit, len(kept))]
	page := wirePage{Records: append([]wireRecord{}, kept...), First: s.first, Next: s.first + start + int64(len(kept))}
	for _, r := range kept {
		l.stats.BytesRead += int64(len(r.Data))
	}
	return page, s.grown
}
