package follower_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const configuration = appender.StreamConfiguration

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stream is a log stream whose records before first are trimmed.
type stream struct {
	records []appender.Record
	first   appender.Offset
}

func (s *stream) add(data []byte) {
	offset := appender.Offset(len(s.records) + 1)
	s.records = append(s.records, appender.Record{Offset: offset, Appended: startTime.Add(time.Duration(offset) * time.Second), Data: data})
}

func (s *stream) page(from appender.Offset) appender.Page {
	first := max(1, s.first)
	page := appender.Page{First: first, Next: appender.Offset(len(s.records) + 1)}
	if from = max(from, first); int(from) <= len(s.records) {
		page.Records = s.records[from-1:]
	}
	return page
}

func (s *stream) read(f *follower.Follower) []follower.Change {
	changes := f.ApplyPage(configuration, s.page(f.NextOffset(configuration)))
	return append(changes, f.ApplyPage(configuration, s.page(f.NextOffset(configuration)))...)
}

func weightRecord(id string, base dotterelpulley.Revision, weight int) []byte {
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(id), Base: base, Body: recorder.Delta{
		Organisations: []dotterelpulley.OrganisationSettings{{ID: "o", Weight: weight}},
	}})
	if err != nil {
		panic(err)
	}
	return data
}

func snapshotRecord(f *follower.Follower) []byte {
	data, err := recorder.Encode(recorder.Envelope{ID: "snapshot", Body: recorder.ConfigurationSnapshot{
		Through: f.NextOffset(configuration) - 1, State: f.ConfigurationState(),
	}})
	if err != nil {
		panic(err)
	}
	return data
}

// drawStream draws a stream of valid, racing, stale, damaged and truncated records, and of current and outdated snapshots.
func drawStream(t *rapid.T) *stream {
	var s stream
	var f follower.Follower
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		s.read(&f)
		base := f.Configuration().Revision
		valid := weightRecord(fmt.Sprintf("r%d", i), base, i+1)
		switch rapid.SampledFrom([]string{"valid", "valid", "race", "stale", "damaged", "truncated", "snapshot", "outdated snapshot"}).Draw(t, "kind") {
		case "valid":
			s.add(valid)
		case "race":
			s.add(valid)
			s.add(weightRecord(fmt.Sprintf("q%d", i), base, 1000))
		case "stale":
			s.add(weightRecord(fmt.Sprintf("s%d", i), base-1, 999))
		case "damaged":
			s.add([]byte("\x00" + string(valid)))
		case "truncated":
			s.add(valid[:len(valid)/2])
		case "snapshot":
			s.add(snapshotRecord(&f))
		case "outdated snapshot":
			s.add(valid)
			s.add(snapshotRecord(&f))
		}
	}
	return &s
}

func TestVerdictsDoNotDependOnTheOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		var ordered, shuffled follower.Follower
		want := map[appender.Offset]recorder.Verdict{}
		for _, change := range s.read(&ordered) {
			want[change.Verdict.Offset] = change.Verdict
		}
		records := rapid.Permutation(s.records).Draw(t, "order")
		revision := dotterelpulley.Revision(0)
		for _, r := range append(records, records...) {
			for _, change := range shuffled.Apply(configuration, r) {
				v := change.Verdict
				if v != want[v.Offset] {
					t.Fatalf("verdict %+v, but in order it was %+v", v, want[v.Offset])
				}
			}
			if newest := shuffled.Configuration().Revision; newest < revision {
				t.Fatalf("revision %d after %d", newest, revision)
			}
			revision = shuffled.Configuration().Revision
		}
		if got, want := shuffled.Configuration(), ordered.Configuration(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("configuration %+v is not %+v", got, want)
		}
	})
}

func TestFollowerOfTrimmedLogIsNotReadyBeforeSnapshot(t *testing.T) {
	c := qt.New(t)
	var s stream
	var upToDate follower.Follower
	for i := range 5 {
		s.read(&upToDate)
		s.add(weightRecord(fmt.Sprint("r", i), upToDate.Configuration().Revision, i+1))
	}
	s.read(&upToDate)
	s.first = 4
	var fresh follower.Follower
	read := func() {
		s.read(&fresh)
		fresh.ApplyPage(appender.StreamMoves, appender.Page{First: 1, Next: 1})
	}
	read()
	c.Check(fresh.Ready(), qt.IsFalse)
	c.Check(fresh.Configuration().Revision, qt.Equals, dotterelpulley.Revision(0))
	s.add(snapshotRecord(&upToDate))
	read()
	c.Check(fresh.Ready(), qt.IsTrue)
	c.Check(fresh.Configuration(), qt.DeepEquals, upToDate.Configuration())
}

func TestNewHostIsNotReadyDuringLogOutageUntilReadyPeerReports(t *testing.T) {
	c := qt.New(t)
	var s stream
	s.add(weightRecord("a", 0, 3))
	var peer, fresh, unready follower.Follower
	c.Check(fresh.Ready(), qt.IsFalse)
	s.read(&peer)
	peer.ApplyPage(appender.StreamMoves, appender.Page{First: 1, Next: 1})
	c.Assert(peer.Ready(), qt.IsTrue)
	c.Check(unready.RecordsAfter(configuration, 0, 10), qt.HasLen, 0)
	fresh.ObserveEnd(configuration, peer.NextOffset(configuration)-1)
	fresh.ObserveEnd(appender.StreamMoves, peer.NextOffset(appender.StreamMoves)-1)
	c.Check(fresh.Ready(), qt.IsFalse)
	for _, r := range peer.RecordsAfter(configuration, fresh.NextOffset(configuration)-1, 10) {
		fresh.Apply(configuration, r)
	}
	fresh.ObserveEnd(configuration, peer.NextOffset(configuration)-1)
	c.Check(fresh.Ready(), qt.IsTrue)
	c.Check(fresh.Configuration().Revision, qt.Equals, dotterelpulley.Revision(1))
}

func TestBadVersionFromPeerStopsTrafficBeforeTheLogRecordsIt(t *testing.T) {
	c := qt.New(t)
	var f follower.Follower
	id := recorder.MoveID{Note: "n", Service: "lm"}
	from, to := dotterelpulley.Build{Version: "1", Model: "m"}, dotterelpulley.Build{Version: "2", Model: "m"}
	deadline := startTime.Add(time.Hour)
	add := func(stream appender.Stream, offset appender.Offset, body recorder.Body) {
		data, err := recorder.Encode(recorder.Envelope{ID: "x", Body: body})
		c.Assert(err, qt.IsNil)
		changes := f.Apply(stream, appender.Record{Offset: offset, Appended: startTime, Data: data})
		c.Assert(changes, qt.HasLen, 1)
		c.Assert(changes[0].Verdict.Reason, qt.Equals, "")
	}
	add(configuration, 1, recorder.Delta{Services: []dotterelpulley.ServiceSettings{{ID: "lm", InitialBuild: from}}})
	add(appender.StreamMoves, 1, recorder.Claim{Holder: "h"})
	add(appender.StreamMoves, 2, recorder.Opening{
		Fence: 1, Move: id, Action: dotterelpulley.ChangeReplace, From: from, To: to, Deadline: deadline, CanaryShare: 0.1,
	})
	add(appender.StreamMoves, 3, recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.1})
	both := []dotterelpulley.Share{{Version: "m@1", Fraction: 0.9}, {Version: "m@2", Fraction: 0.1}}
	one := []dotterelpulley.Share{{Version: "m@1", Fraction: 1}}
	c.Check(f.Shares("lm", startTime), qt.DeepEquals, both)
	c.Check(f.Shares("lm", deadline.Add(recorder.ClockTolerance+1)), qt.DeepEquals, one)
	c.Check(f.AddBadVersion(recorder.BadVersion{Move: id, Version: "m@2"}), qt.IsTrue)
	c.Check(f.AddBadVersion(recorder.BadVersion{Move: id, Version: "m@2"}), qt.IsFalse)
	c.Check(f.Shares("lm", startTime), qt.DeepEquals, one)
	add(appender.StreamMoves, 4, recorder.Outcome{Fence: 1, Move: id, Reason: "bad"})
	c.Check(f.ReportedBadVersions(), qt.HasLen, 0)
	c.Check(f.Shares("lm", startTime), qt.DeepEquals, one)
}
