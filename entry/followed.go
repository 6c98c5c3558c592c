package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

const (
	logReadWait  = time.Second
	logReadRetry = 500 * time.Millisecond
	// logReadPause keeps a host that waits for a snapshot from asking all the time.
	logReadPause = 100 * time.Millisecond
)

// followed is what the log, or a peer in its place, says is in force.
type followed struct {
	mu        sync.Mutex
	follower  follower.Follower
	assessor  assessor.Assessor
	splitters map[dotterelpulley.ServiceID]*splitter.Splitter
	evidence  map[dotterelpulley.ServiceID]*assessor.Evidence
	broken    map[dotterelpulley.EndpointID]time.Time

	organisations   map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings
	organisationsAt dotterelpulley.Revision
}

// ready reports whether the newest configuration is known; before the first there is none.
func (f *followed) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Ready() && f.follower.Configuration().Revision > 0
}

// next returns where to read the stream from, and how long to wait there for a record: not at all before its end was reached.
func (f *followed) next(stream appender.Stream) (appender.Offset, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.follower.Reached(stream) {
		return f.follower.Next(stream), 0
	}
	return f.follower.Next(stream), logReadWait
}

func (f *followed) applyPage(stream appender.Stream, page appender.Page) []follower.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.ApplyPage(stream, page)
}

// followLog reads the stream until the process ends.
func (e *Entry) followLog(stream appender.Stream) {
	for e.ctx.Err() == nil {
		next, wait := e.followed.next(stream)
		page, err := e.platform.Read(stream, next, wait)
		if err != nil {
			e.counters.Inc("retry-log-read")
			repeater.Sleep(e.ctx, logReadRetry)
			continue
		}
		e.inForce(e.followed.applyPage(stream, page))
		if len(page.Records) == 0 && wait == 0 {
			repeater.Sleep(e.ctx, logReadPause)
		}
	}
}

// inForce logs and counts what records changed, and tries what waits again.
func (e *Entry) inForce(changes []follower.Change) {
	for _, change := range changes {
		e.tellChange(change)
	}
	if len(changes) > 0 {
		e.queue.dispatch()
	}
}

func (e *Entry) tellChange(change follower.Change) {
	v := change.Verdict
	if !v.Accepted {
		e.counters.Inc("records-refused")
		e.log.Warn().Str("event", "record-refused").Str("stream", string(change.Stream)).
			Int64("offset", int64(v.Offset)).Str("reason", v.Reason).Msg("")
		return
	}
	switch body := change.Body.(type) {
	case recorder.Delta:
		e.counters.Inc("configuration-revisions")
		e.log.Info().Str("event", "configuration").Int64("revision", int64(v.Offset)).Msg("")
	case recorder.Step:
		e.log.Info().Str("event", "step").Str("move", body.Move.String()).Float64("share", body.Share).Msg("")
	case recorder.Outcome:
		e.log.Info().Str("event", "move-ended").Str("move", body.Move.String()).Bool("done", body.Done).Msg("")
	case recorder.BadVersion:
		e.log.Warn().Str("event", "bad-version").Str("move", body.Move.String()).Str("reason", body.Reason).Msg("")
	case recorder.Note, recorder.ConfigurationSnapshot, recorder.Claim, recorder.Renewal,
		recorder.Release, recorder.Opening, recorder.MovesSnapshot:
	}
}
