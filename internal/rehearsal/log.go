package rehearsal

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
)

var (
	errOutage = errors.New("the log is out")
	errLost   = errors.New("the answer was lost")
)

// lostAnswers is the part of appends that take effect though their answer is lost.
const lostAnswers = 0.03

// store is the modelled log.
type store struct {
	streams map[appender.Stream][]appender.Record
	random  *rand.Rand
	out     bool
	lossy   bool
}

func (s *store) append(stream appender.Stream, data []byte, now time.Time) error {
	if s.out {
		return errOutage
	}
	if s.streams == nil {
		s.streams = map[appender.Stream][]appender.Record{}
	}
	offset := appender.Offset(len(s.streams[stream]) + 1)
	s.streams[stream] = append(s.streams[stream], appender.Record{Offset: offset, Appended: now.UTC(), Data: data})
	if s.lossy && s.random.Float64() < lostAnswers {
		return errLost
	}
	return nil
}

func (s *store) read(stream appender.Stream, from appender.Offset) (appender.Page, error) {
	if s.out {
		return appender.Page{}, errOutage
	}
	all := s.streams[stream]
	page := appender.Page{First: 1, Next: appender.Offset(len(all) + 1)}
	if int(from) <= len(all) {
		page.Records = all[from-1:]
	}
	return page, nil
}
