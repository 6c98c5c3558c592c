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
	// logReadPause is the pause after an empty read, so that a host that waits for a snapshot does not poll continuously.
	logReadPause = 100 * time.Millisecond
)

// logState holds the state derived from the records of the log, which are read from the log or from a peer.
type logState struct {
	mu              sync.Mutex
	follower        follower.Follower
	assessor        assessor.Assessor
	splitters       map[dotterelpulley.ServiceID]*splitter.Splitter
	evidence        map[dotterelpulley.ServiceID]*assessor.Evidence
	lastInterrupted map[dotterelpulley.EndpointID]time.Time

	organisations   map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings
	organisationsAt dotterelpulley.Revision
}

// ready reports whether the newest configuration is known, which requires that one has been published.
func (l *logState) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.Ready() && l.follower.Configuration().Revision > 0
}

// next returns the offset to read the stream from and how long to wait there for a record. The wait is 0 until the
// end of the stream has been reached.
func (l *logState) next(stream appender.Stream) (appender.Offset, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.follower.CaughtUp(stream) {
		return l.follower.NextOffset(stream), 0
	}
	return l.follower.NextOffset(stream), logReadWait
}

func (l *logState) applyPage(stream appender.Stream, page appender.Page) []follower.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.ApplyPage(stream, page)
}

// followLog keeps reading the stream until the process ends.
func (e *Entry) followLog(stream appender.Stream) {
	for e.ctx.Err() == nil {
		next, wait := e.logState.next(stream)
		page, err := e.logClient.Read(stream, next, wait)
		if err != nil {
			e.counters.Inc("retry-log-read")
			repeater.Sleep(e.ctx, logReadRetry)
			continue
		}
		e.handleChanges(e.logState.applyPage(stream, page))
		if len(page.Records) == 0 && wait == 0 {
			repeater.Sleep(e.ctx, logReadPause)
		}
	}
}

// handleChanges logs and counts the changes; if there are any, it dispatches waiting requests.
func (e *Entry) handleChanges(changes []follower.Change) {
	for _, change := range changes {
		e.logChange(change)
	}
	if len(changes) > 0 {
		e.queue.dispatch()
	}
}

func (e *Entry) logChange(change follower.Change) {
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
