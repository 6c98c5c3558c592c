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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stream is a log that keeps its records from first on.
type stream struct {
	records []appender.Record
	first   appender.Offset
}

func (s *stream) add(data []byte) {
	offset := appender.Offset(len(s.records) + 1)
	s.records = append(s.records, appender.Record{Offset: offset, Appended: began.Add(time.Duration(offset) * time.Second), Data: data})
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
	changes := f.ApplyPage(configuration, s.page(f.Next(configuration)))
	return append(changes, f.ApplyPage(configuration, s.page(f.Next(configuration)))...)
}

func weight(id string, base dotterelpulley.Revision, weight int) []byte {
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(id), Base: base, Body: recorder.Delta{
		Organisations: []dotterelpulley.OrganisationSettings{{ID: "o", Weight: weight}},
	}})
	if err != nil {
		panic(err)
	}
	return data
}

func snapshot(f *follower.Follower) []byte {
	data, err := recorder.Encode(recorder.Envelope{ID: "snapshot", Body: recorder.ConfigurationSnapshot{
		Through: f.Next(configuration) - 1, State: f.ConfigurationState(),
	}})
	if err != nil {
		panic(err)
	}
	return data
}

// drawStream appends racing, damaged, stale and half-written records, and snapshots that may be overtaken.
func drawStream(t *rapid.T) *stream {
	var s stream
	var f follower.Follower
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		s.read(&f)
		base := f.Configuration().Revision
		good := weight(fmt.Sprintf("r%d", i), base, i+1)
		switch rapid.SampledFrom([]string{"good", "good", "race", "stale", "damaged", "half", "snapshot", "overtaken"}).Draw(t, "kind") {
		case "good":
			s.add(good)
		case "race":
			s.add(good)
			s.add(weight(fmt.Sprintf("q%d", i), base, 1000))
		case "stale":
			s.add(weight(fmt.Sprintf("s%d", i), base-1, 999))
		case "damaged":
			s.add([]byte("\x00" + string(good)))
		case "half":
			s.add(good[:len(good)/2])
		case "snapshot":
			s.add(snapshot(&f))
		case "overtaken":
			s.add(good)
			s.add(snapshot(&f))
		}
	}
	return &s
}

func TestEveryFollowerReachesTheSameVerdictsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawStream(t)
		var straight, mixed follower.Follower
		want := map[appender.Offset]recorder.Verdict{}
		for _, change := range s.read(&straight) {
			want[change.Verdict.Offset] = change.Verdict
		}
		order := rapid.Permutation(s.records).Draw(t, "order")
		revision := dotterelpulley.Revision(0)
		for _, r := range append(order, order...) {
			for _, change := range mixed.Apply(configuration, r) {
				v := change.Verdict
				if v != want[v.Offset] {
					t.Fatalf("verdict %+v, but in order it was %+v", v, want[v.Offset])
				}
			}
			if now := mixed.Configuration().Revision; now < revision {
				t.Fatalf("revision %d after %d", now, revision)
			}
			revision = mixed.Configuration().Revision
		}
		if got, want := mixed.Configuration(), straight.Configuration(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("configuration %+v is not %+v", got, want)
		}
	})
}

func TestAFollowerOfATrimmedLogIsNotReadyUntilASnapshot(t *testing.T) {
	c := qt.New(t)
	var s stream
	var old follower.Follower
	for i := range 5 {
		s.read(&old)
		s.add(weight(fmt.Sprint("r", i), old.Configuration().Revision, i+1))
	}
	s.read(&old)
	s.first = 4
	var fresh follower.Follower
	read := func() {
		s.read(&fresh)
		fresh.ApplyPage(appender.StreamMoves, appender.Page{First: 1, Next: 1})
	}
	read()
	c.Check(fresh.Ready(), qt.IsFalse)
	c.Check(fresh.Configuration().Revision, qt.Equals, dotterelpulley.Revision(0))
	s.add(snapshot(&old))
	read()
	c.Check(fresh.Ready(), qt.IsTrue)
	c.Check(fresh.Configuration(), qt.DeepEquals, old.Configuration())
}

func TestAnOutageLeavesANewHostNotReadyUntilAReadyPeerTells(t *testing.T) {
	c := qt.New(t)
	var s stream
	s.add(weight("a", 0, 3))
	var peer, fresh, unready follower.Follower
	c.Check(fresh.Ready(), qt.IsFalse)
	s.read(&peer)
	peer.ApplyPage(appender.StreamMoves, appender.Page{First: 1, Next: 1})
	c.Assert(peer.Ready(), qt.IsTrue)
	c.Check(unready.Since(configuration, 0, 10), qt.HasLen, 0)
	fresh.Heard(configuration, peer.Next(configuration)-1)
	fresh.Heard(appender.StreamMoves, peer.Next(appender.StreamMoves)-1)
	c.Check(fresh.Ready(), qt.IsFalse)
	for _, r := range peer.Since(configuration, fresh.Next(configuration)-1, 10) {
		fresh.Apply(configuration, r)
	}
	fresh.Heard(configuration, peer.Next(configuration)-1)
	c.Check(fresh.Ready(), qt.IsTrue)
	c.Check(fresh.Configuration().Revision, qt.Equals, dotterelpulley.Revision(1))
}

func TestAVerdictOfAPeerStopsAVersionWithoutTheLog(t *testing.T) {
	c := qt.New(t)
	var f follower.Follower
	id := recorder.MoveID{Note: "n", Service: "lm"}
	from, to := dotterelpulley.Build{Version: "1", Model: "m"}, dotterelpulley.Build{Version: "2", Model: "m"}
	deadline := began.Add(time.Hour)
	add := func(stream appender.Stream, offset appender.Offset, body recorder.Body) {
		data, err := recorder.Encode(recorder.Envelope{ID: "x", Body: body})
		c.Assert(err, qt.IsNil)
		changes := f.Apply(stream, appender.Record{Offset: offset, Appended: began, Data: data})
		c.Assert(changes, qt.HasLen, 1)
		c.Assert(changes[0].Verdict.Reason, qt.Equals, "")
	}
	add(configuration, 1, recorder.Delta{Services: []dotterelpulley.ServiceSettings{{ID: "lm", Build: from}}})
	add(appender.StreamMoves, 1, recorder.Claim{Holder: "h"})
	add(appender.StreamMoves, 2, recorder.Opening{
		Fence: 1, Move: id, Action: dotterelpulley.ChangeReplace, From: from, To: to, Deadline: deadline, Cap: 0.1,
	})
	add(appender.StreamMoves, 3, recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.1})
	both := []dotterelpulley.Share{{Version: "m@1", Fraction: 0.9}, {Version: "m@2", Fraction: 0.1}}
	one := []dotterelpulley.Share{{Version: "m@1", Fraction: 1}}
	c.Check(f.Shares("lm", began), qt.DeepEquals, both)
	c.Check(f.Shares("lm", deadline.Add(recorder.ClockTolerance+1)), qt.DeepEquals, one)
	c.Check(f.Mark(recorder.BadVersion{Move: id, Version: "m@2"}), qt.IsTrue)
	c.Check(f.Mark(recorder.BadVersion{Move: id, Version: "m@2"}), qt.IsFalse)
	c.Check(f.Shares("lm", began), qt.DeepEquals, one)
	add(appender.StreamMoves, 4, recorder.Outcome{Fence: 1, Move: id, Reason: "bad"})
	c.Check(f.Marked(), qt.HasLen, 0)
	c.Check(f.Shares("lm", began), qt.DeepEquals, one)
}
