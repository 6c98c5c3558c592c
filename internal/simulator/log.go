package simulator

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
)

var (
	errOutage     = errors.New("the log is unavailable")
	errAnswerLost = errors.New("the answer was lost")
)

// lostAnswerRate is the fraction of appends that take effect although their answer is lost.
const lostAnswerRate = 0.03

// recordLog is the simulated log.
type recordLog struct {
	streams      map[appender.Stream][]appender.Record
	random       *rand.Rand
	unavailable  bool
	losesAnswers bool
}

func (l *recordLog) append(stream appender.Stream, data []byte, now time.Time) error {
	if l.unavailable {
		return errOutage
	}
	if l.streams == nil {
		l.streams = map[appender.Stream][]appender.Record{}
	}
	offset := appender.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], appender.Record{Offset: offset, Appended: now.UTC(), Data: data})
	if l.losesAnswers && l.random.Float64() < lostAnswerRate {
		return errAnswerLost
	}
	return nil
}

func (l *recordLog) read(stream appender.Stream, from appender.Offset) (appender.Page, error) {
	if l.unavailable {
		return appender.Page{}, errOutage
	}
	all := l.streams[stream]
	page := appender.Page{First: 1, Next: appender.Offset(len(all) + 1)}
	if int(from) <= len(all) {
		page.Records = all[from-1:]
	}
	return page, nil
}
