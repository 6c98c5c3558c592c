package entry

import (
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	assessInterval = 500 * time.Millisecond
	// interruptionWindow is the time within which interrupted streams of one endpoint count as one failure, since they
	// have a common cause.
	interruptionWindow = 5 * time.Second
	maxBadVersionBytes = 16 << 10
)

// attemptOutcome describes one attempt at a version.
type attemptOutcome struct {
	grant   grant
	started time.Time
	first   time.Time
	last    time.Time
	chunks  int
	result  attemptResult
	// expired reports whether the request's deadline passed during the attempt.
	expired bool
}

// addSample adds the attempt to the evidence if its outcome can depend on the version.
func (l *logState) addSample(req dotterelpulley.Request, o attemptOutcome, now time.Time) {
	s, relevant := o.sample(req)
	if !relevant {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, interrupted := o.result.(attemptInterrupted); interrupted && l.interruptedRecently(o.grant.endpoint.ID, now) {
		return
	}
	e, _ := l.currentEvidence(req.Service, now)
	e.Add(o.grant.version, s, now)
}

func (o attemptOutcome) sample(req dotterelpulley.Request) (assessor.Sample, bool) {
	s := assessor.Sample{Cell: assessor.Cell{
		Route:      req.Route,
		Tier:       req.Tier,
		Generation: o.grant.endpoint.Generation,
		Load:       assessor.BandOf(o.grant.load),
	}}
	switch o.result.(type) {
	case attemptCompleted:
		if o.chunks > 0 {
			s.FirstToken = o.first.Sub(o.started)
		}
		if o.chunks > 1 {
			s.BetweenTokens = o.last.Sub(o.first) / time.Duration(o.chunks-1)
		}
		return s, true
	case attemptFailed, attemptInterrupted:
		s.Failed = true
		return s, true
	case attemptCancelled:
		s.Failed = true
		return s, o.expired
	case attemptNotStarted:
	}
	return s, false
}

// interruptedRecently reports whether a stream of the endpoint was interrupted within the window, and records the
// current interruption otherwise; l.mu is held.
func (l *logState) interruptedRecently(id dotterelpulley.EndpointID, now time.Time) bool {
	if now.Sub(l.lastInterrupted[id]) < interruptionWindow {
		return true
	}
	if l.lastInterrupted == nil {
		l.lastInterrupted = map[dotterelpulley.EndpointID]time.Time{}
	}
	l.lastInterrupted[id] = now
	return false
}

// currentEvidence returns the service's evidence and whether a move is replacing its version; l.mu is held.
func (l *logState) currentEvidence(service dotterelpulley.ServiceID, now time.Time) (e *assessor.Evidence, moving bool) {
	e = l.evidence[service]
	if e == nil {
		e = &assessor.Evidence{}
		if l.evidence == nil {
			l.evidence = map[dotterelpulley.ServiceID]*assessor.Evidence{}
		}
		l.evidence[service] = e
	}
	m, running := l.follower.Running(service)
	if !running || m.Action != dotterelpulley.ChangeReplace {
		build, _ := l.follower.InForce(service)
		e.BeginReference(service, recorder.VersionOf(build), now)
		return e, false
	}
	e.BeginExposure(assessor.Exposure{
		Note:    m.ID.Note,
		Service: m.ID.Service,
		Step:    m.Number,
		Old:     recorder.VersionOf(m.From),
		New:     recorder.VersionOf(m.To),
	}, now)
	return e, true
}

// report returns this host's evidence and the bad versions it knows of.
func (l *logState) report(now time.Time) assessor.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r assessor.Report
	for _, s := range l.follower.Configuration().Services {
		if e, moving := l.currentEvidence(s.ID, now); moving {
			e.Refresh(now)
			r.Evidence = append(r.Evidence, e)
		}
	}
	r.BadVersions = l.badVersionRecords()
	return r
}

// badVersionRecords returns the verdicts that hosts have broadcast, encoded as records; l.mu is held.
func (l *logState) badVersionRecords() [][]byte {
	var records [][]byte
	for _, bad := range l.follower.ReportedBadVersions() {
		env := recorder.Envelope{ID: recorder.RecordID(bad.Move.String()), Body: bad}
		if data, err := recorder.Encode(env); err == nil {
			records = append(records, data)
		}
	}
	return records
}

// judge returns the versions that this host's own evidence newly shows to be bad.
func (l *logState) judge(host dotterelpulley.HostID, now time.Time) []recorder.BadVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []recorder.BadVersion
	for _, s := range l.follower.Configuration().Services {
		e, moving := l.currentEvidence(s.ID, now)
		if !moving {
			continue
		}
		e.Refresh(now)
		a := l.assessor.Assess(e, now)
		if !a.Bad {
			continue
		}
		bad := recorder.BadVersion{
			Move:       recorder.MoveID{Note: e.Exposure.Note, Service: e.Exposure.Service},
			Version:    e.Exposure.New,
			Reason:     a.Reason,
			ReportedBy: host,
		}
		if l.follower.AddBadVersion(bad) {
			found = append(found, bad)
		}
	}
	return found
}

// markBad records a verdict that another host broadcast and reports whether it is new.
func (l *logState) markBad(bad recorder.BadVersion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.AddBadVersion(bad)
}

// assess judges the active moves by this host's own evidence and broadcasts the bad versions.
func (e *Entry) assess() {
	now := time.Now()
	for _, bad := range e.logState.judge(e.settings.Host, now) {
		e.counters.Inc("versions-judged-bad")
		e.log.Warn().Str("event", "version-judged-bad").Str("move", bad.Move.String()).Str("reason", bad.Reason).Msg("")
		e.gossip.broadcastBadVersion(now, bad)
		e.queue.dispatch()
	}
}

// handleEvidence serves this host's evidence to the mover.
func (e *Entry) handleEvidence(w http.ResponseWriter, _ *http.Request) {
	data, err := assessor.EncodeReport(e.logState.report(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, err = compressed.Write(data)
	if err = errors.Join(err, compressed.Close()); err != nil {
		e.counters.Inc("evidence-cut")
	}
}

// handleBadVersion receives a verdict on a version and broadcasts it if it is new.
func (e *Entry) handleBadVersion(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBadVersionBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.acceptBadVersion(data); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// acceptBadVersion records a verdict from another host and broadcasts it if it is new.
func (e *Entry) acceptBadVersion(data []byte) error {
	bad, err := decodeBadVersion(data)
	if err != nil {
		return err
	}
	if !e.logState.markBad(bad) {
		return nil
	}
	e.counters.Inc("bad-version-heard")
	e.log.Warn().Str("event", "bad-version-heard").Str("move", bad.Move.String()).Str("by", string(bad.ReportedBy)).Msg("")
	e.gossip.broadcastBadVersion(time.Now(), bad)
	return nil
}

// expired reports whether the context ended because its deadline passed.
func expired(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}
