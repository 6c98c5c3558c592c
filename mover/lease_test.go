package mover

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// rival is one of several movers on one log; its view changes only when it reads the log.
type rival struct {
	Mover
	view View
	read int
}

// rivalLog is a moves stream whose appends may fail, take effect with the answer lost, or take effect late.
type rivalLog struct {
	envelopes []recorder.Envelope
	delayed   []recorder.Envelope
}

var errNoAnswer = errors.New("no answer")

func (l *rivalLog) append(env recorder.Envelope, fate string) error {
	switch fate {
	case "lost":
		l.envelopes = append(l.envelopes, env)
		return errNoAnswer
	case "late":
		l.delayed = append(l.delayed, env)
		return errNoAnswer
	case "failed":
		return errNoAnswer
	}
	l.envelopes = append(l.envelopes, env)
	return nil
}

func (r *rival) catchUp(l *rivalLog, now time.Time) {
	for ; r.read < len(l.envelopes); r.read++ {
		position := recorder.Position{Offset: appender.Offset(r.read + 1), Appended: now}
		r.Observe(r.view.Moves.Apply(position, l.envelopes[r.read]))
	}
	r.view.CaughtUp = now
}

func TestNoTwoMoversAreActiveAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var log rivalLog
		rivals := make([]*rival, 3)
		incarnation := 0
		start := func(i int) {
			incarnation++
			rivals[i] = &rival{Mover: Mover{
				Settings: Settings{Host: dotterelpulley.HostID(fmt.Sprint(i)), Lease: DefaultLease, OrderTimeout: DefaultOrderTimeout, Retention: DefaultRetention},
				IDPrefix: fmt.Sprint(incarnation),
			}}
		}
		for i := range rivals {
			start(i)
		}
		activations := 0
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(10, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(rivals)-1).Draw(t, "rival")
			r := rivals[i]
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				start(i)
				continue
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "pause")) * time.Second)
			case 2:
				log.envelopes = append(log.envelopes, log.delayed...)
				log.delayed = nil
			case 3:
				if a, held := r.ReleaseLease(now, &r.view); held {
					_ = log.append(a.Envelope, rapid.SampledFrom([]string{"", "lost", "late", "failed"}).Draw(t, "release"))
				}
				start(i)
				continue
			}
			if rapid.IntRange(0, 5).Draw(t, "read") > 0 {
				r.catchUp(&log, now)
			}
			for _, action := range r.Tick(now, &r.view) {
				a, ok := action.(Append)
				if !ok {
					continue
				}
				fate := rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "failed"}).Draw(t, "fate")
				r.AppendAnswered(a.Envelope.ID, now, log.append(a.Envelope, fate))
			}
			active := 0
			for _, other := range rivals {
				if other.Active(now, &other.view) {
					active++
				}
			}
			activations += active
			if active > 1 {
				t.Fatalf("%d movers are active at once", active)
			}
		}
		if activations == 0 {
			t.Skip("no mover became active")
		}
	})
}
