package simulator

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
)

var (
	errOutage     = errors.New("the log is out")
	errAnswerLost = errors.New("the answer was lost")
)

// lostAnswerRate is the fraction of appends that take effect although their answer is lost.
const lostAnswerRate = 0.03

// store is the simulated log.
type store struct {
	streams      map[appender.Stream][]appender.Record
	random       *rand.Rand
	unavailable  bool
	losesAnswers bool
}

func (s *store) append(stream appender.Stream, data []byte, now time.Time) error {
	if s.unavailable {
		return errOutage
	}
	if s.streams == nil {
		s.streams = map[appender.Stream][]appender.Record{}
	}
	offset := appender.Offset(len(s.streams[stream]) + 1)
	s.streams[stream] = append(s.streams[stream], appender.Record{Offset: offset, Appended: now.UTC(), Data: data})
	if s.losesAnswers && s.random.Float64() < lostAnswerRate {
		return errAnswerLost
	}
	return nil
}

func (s *store) read(stream appender.Stream, from appender.Offset) (appender.Page, error) {
	if s.unavailable {
		return appender.Page{}, errOutage
	}
	all := s.streams[stream]
	page := appender.Page{First: 1, Next: appender.Offset(len(all) + 1)}
	if int(from) <= len(all) {
		page.Records = all[from-1:]
	}
	return page, nil
}
