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
	assessEvery = 500 * time.Millisecond
	// brokenOnce is the time within which broken streams of one endpoint count as one failure: they broke together.
	brokenOnce   = 5 * time.Second
	maxFactBytes = 16 << 10
)

// outcome is how one attempt at a version went.
type outcome struct {
	grant   grant
	started time.Time
	first   time.Time
	last    time.Time
	chunks  int
	result  attemptResult
	// expired says that the request's time ended while it ran.
	expired bool
}

// sample counts the attempt as evidence, if it says something of the version.
func (f *followed) sample(req dotterelpulley.Request, o outcome, now time.Time) {
	s, counts := o.sample(req)
	if !counts {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, broken := o.result.(attemptBroken); broken && f.brokeLately(o.grant.endpoint.ID, now) {
		return
	}
	e, _ := f.exposure(req.Service, now)
	e.Add(o.grant.version, s, now)
}

func (o outcome) sample(req dotterelpulley.Request) (assessor.Sample, bool) {
	s := assessor.Sample{Cell: assessor.Cell{
		Route:      req.Route,
		Tier:       req.Tier,
		Generation: o.grant.endpoint.Generation,
		Load:       assessor.BandOf(o.grant.load),
	}}
	switch o.result.(type) {
	case attemptWhole:
		if o.chunks > 0 {
			s.FirstToken = o.first.Sub(o.started)
		}
		if o.chunks > 1 {
			s.BetweenTokens = o.last.Sub(o.first) / time.Duration(o.chunks-1)
		}
		return s, true
	case attemptFailed, attemptBroken:
		s.Failed = true
		return s, true
	case attemptCancelled:
		s.Failed = true
		return s, o.expired
	case attemptNotStarted:
	}
	return s, false
}

// brokeLately reports whether a stream of the endpoint broke a moment ago, and notes that one did now; f.mu is held.
func (f *followed) brokeLately(id dotterelpulley.EndpointID, now time.Time) bool {
	if now.Sub(f.broken[id]) < brokenOnce {
		return true
	}
	if f.broken == nil {
		f.broken = map[dotterelpulley.EndpointID]time.Time{}
	}
	f.broken[id] = now
	return false
}

// exposure returns the evidence of the service, and whether a move of it runs; f.mu is held.
func (f *followed) exposure(service dotterelpulley.ServiceID, now time.Time) (e *assessor.Evidence, moving bool) {
	e = f.evidence[service]
	if e == nil {
		e = &assessor.Evidence{}
		if f.evidence == nil {
			f.evidence = map[dotterelpulley.ServiceID]*assessor.Evidence{}
		}
		f.evidence[service] = e
	}
	m, running := f.follower.Running(service)
	if !running || m.Action != dotterelpulley.ChangeReplace {
		build, _ := f.follower.InForce(service)
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

// report returns this host's evidence and the bad versions that it knows of.
func (f *followed) report(now time.Time) assessor.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r assessor.Report
	for _, s := range f.follower.Configuration().Services {
		if e, moving := f.exposure(s.ID, now); moving {
			e.Refresh(now)
			r.Evidence = append(r.Evidence, e)
		}
	}
	r.BadVersions = f.marked()
	return r
}

// marked returns the verdicts that hosts have spread, as records; f.mu is held.
func (f *followed) marked() [][]byte {
	var records [][]byte
	for _, bad := range f.follower.Marked() {
		env := recorder.Envelope{ID: recorder.RecordID(bad.Move.String()), Body: bad}
		if data, err := recorder.Encode(env); err == nil {
			records = append(records, data)
		}
	}
	return records
}

// judge returns the versions that this host's own evidence shows to be bad.
func (f *followed) judge(host dotterelpulley.HostID, now time.Time) []recorder.BadVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []recorder.BadVersion
	for _, s := range f.follower.Configuration().Services {
		e, moving := f.exposure(s.ID, now)
		if !moving {
			continue
		}
		e.Refresh(now)
		a := f.assessor.Assess(e, now)
		if !a.Bad {
			continue
		}
		bad := recorder.BadVersion{
			Move:    recorder.MoveID{Note: e.Exposure.Note, Service: e.Exposure.Service},
			Version: e.Exposure.New,
			Reason:  a.Reason,
			By:      host,
		}
		if f.follower.Mark(bad) {
			found = append(found, bad)
		}
	}
	return found
}

// mark takes a verdict that another host spread and reports whether it is news.
func (f *followed) mark(bad recorder.BadVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Mark(bad)
}

// assess judges the running moves by this host's own evidence and spreads what is bad.
func (e *Entry) assess() {
	now := time.Now()
	for _, bad := range e.followed.judge(e.settings.Host, now) {
		e.counters.Inc("versions-judged-bad")
		e.log.Warn().Str("event", "version-judged-bad").Str("move", bad.Move.String()).Str("reason", bad.Reason).Msg("")
		e.gossip.spreadBad(now, bad)
		e.queue.dispatch()
	}
}

// handleEvidence answers the mover's polls.
func (e *Entry) handleEvidence(w http.ResponseWriter, _ *http.Request) {
	data, err := assessor.EncodeReport(e.followed.report(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	packed := gzip.NewWriter(w)
	_, err = packed.Write(data)
	if err = errors.Join(err, packed.Close()); err != nil {
		e.counters.Inc("evidence-cut")
	}
}

// handleBad takes a verdict and passes it on once.
func (e *Entry) handleBad(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFactBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.takeBad(data); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// takeBad takes a verdict of another host and passes it on if it is news.
func (e *Entry) takeBad(data []byte) error {
	bad, err := decodeBad(data)
	if err != nil {
		return err
	}
	if !e.followed.mark(bad) {
		return nil
	}
	e.counters.Inc("bad-version-heard")
	e.log.Warn().Str("event", "bad-version-heard").Str("move", bad.Move.String()).Str("by", string(bad.By)).Msg("")
	e.gossip.spreadBad(time.Now(), bad)
	return nil
}

// expired reports whether the context ended because its time had come.
func expired(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded)
}
