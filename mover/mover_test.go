package mover

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func build(version string) dotterelpulley.Build {
	return dotterelpulley.Build{Model: "m", Version: dotterelpulley.VersionID(version)}
}

func change(service string, after ...dotterelpulley.ServiceID) dotterelpulley.Change {
	return dotterelpulley.Change{
		Action: dotterelpulley.ChangeReplace, Service: dotterelpulley.ServiceID(service),
		From: build("1"), To: build("2"), After: after,
	}
}

// world is a mover with its view, and applies the mover's actions to that view.
type world struct {
	Mover
	View
	appended int
}

func newWorld(changes ...dotterelpulley.Change) *world {
	w := &world{Mover: Mover{Settings: Settings{
		Host: "h", Lease: time.Hour, OrderTimeout: time.Second, LoadsAtOnce: 2, Retention: DefaultRetention,
	}}}
	for _, c := range changes {
		w.Configuration.Configuration.Services = append(w.Configuration.Configuration.Services,
			dotterelpulley.ServiceSettings{ID: c.Service, InitialBuild: build("1")})
	}
	w.addNote("n", time.Hour, changes...)
	return w
}

func (w *world) addNote(id dotterelpulley.NoteID, left time.Duration, changes ...dotterelpulley.Change) {
	w.Configuration.Notes = append(w.Configuration.Notes, recorder.AcceptedNote{Note: dotterelpulley.ReleaseNote{
		ID: id, Deadline: noon.Add(left), CanaryShare: 0.1, ObservationTime: time.Minute, Changes: changes,
	}})
}

// tick applies the records that the mover appends to the view, and returns them with its orders.
func (w *world) tick(now time.Time) (records []string, orders []Order) {
	w.CaughtUp = now
	for _, action := range w.Tick(now, &w.View) {
		switch a := action.(type) {
		case Append:
			w.appended++
			position := recorder.Position{Offset: appender.Offset(w.appended), Appended: now}
			v := w.Moves.Apply(position, a.Envelope)
			w.Observe(v)
			records = append(records, describe(a.Envelope.Body)+v.Reason)
		case Order:
			orders = append(orders, a)
		case BroadcastBadVersion:
		}
	}
	return records, orders
}

func describe(body recorder.Body) string {
	switch b := body.(type) {
	case recorder.Claim:
		return "claim"
	case recorder.Opening:
		return "open " + b.Move.String()
	case recorder.Step:
		return fmt.Sprintf("step %s %g", b.Move, b.Share)
	case recorder.Outcome:
		return fmt.Sprintf("end %s %v %s", b.Move, b.Done, b.Reason)
	case recorder.BadVersion:
		return "bad " + b.Move.String()
	case recorder.Delta, recorder.Note, recorder.ConfigurationSnapshot, recorder.Renewal, recorder.Release, recorder.MovesSnapshot:
	}
	return fmt.Sprintf("%T", body)
}

// run ticks every second and returns the records in order; beforeTick, if not nil, changes the world before each tick.
func (w *world) run(ticks int, beforeTick func(now time.Time)) []string {
	var collected []string
	for i := range ticks {
		now := noon.Add(time.Duration(i) * time.Second)
		if beforeTick != nil {
			beforeTick(now)
		}
		records, orders := w.tick(now)
		collected = append(collected, records...)
		for _, o := range orders {
			for j := range w.Endpoints {
				if w.Endpoints[j].ID == o.Endpoint {
					w.Endpoints[j].Loaded = o.Want
				}
			}
		}
	}
	return collected
}

func (w *world) addEndpoints(service dotterelpulley.ServiceID, count int) {
	for i := range count {
		w.Endpoints = append(w.Endpoints, Endpoint{
			ID: dotterelpulley.EndpointID(fmt.Sprint(service, i)), Service: service,
			Generation: dotterelpulley.Generation(fmt.Sprint("g", i%2)), Loaded: []dotterelpulley.VersionID{"m@1"},
		})
	}
}

// proveAll sets an assessment for every move that proves its current step.
func (w *world) proveAll(time.Time) {
	w.Assessments = map[recorder.MoveID]Assessment{}
	for _, m := range w.Moves.Moves {
		w.Assessments[m.ID] = Assessment{Step: m.Number, EnoughEvidence: true, Reason: "proved"}
	}
}

func TestGoodMoveAdvancesStepByStep(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("lm"))
	w.addEndpoints("lm", 4)
	c.Check(w.run(300, w.proveAll), qt.DeepEquals, []string{
		"claim", "open n/lm", "step n/lm 0.1", "step n/lm 0.25", "step n/lm 0.5", "step n/lm 0.95", "end n/lm true proved",
	})
	for _, e := range w.Endpoints {
		c.Check(e.Loaded, qt.DeepEquals, []dotterelpulley.VersionID{"m@2"})
	}
}

func TestBadVersionIsRolledBackAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("lm"))
	w.addEndpoints("lm", 4)
	records := w.run(120, func(now time.Time) {
		w.proveAll(now)
		if now.Sub(noon) >= 30*time.Second {
			w.Assessments[recorder.MoveID{Note: "n", Service: "lm"}] = Assessment{Step: 1, Bad: true, Reason: "failures"}
		}
	})
	c.Check(records, qt.DeepEquals, []string{
		"claim", "open n/lm", "step n/lm 0.1", "bad n/lm", "end n/lm false the new version is bad: failures",
	})
	for _, e := range w.Endpoints {
		c.Check(e.Loaded, qt.DeepEquals, []dotterelpulley.VersionID{"m@1"})
	}
}

func TestMoveWithoutEvidenceIsUndoneBeforeItsDeadline(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("lm"))
	w.Configuration.Notes[0].Note.Deadline = noon.Add(10 * time.Minute)
	w.addEndpoints("lm", 4)
	records := w.run(600, nil)
	c.Assert(records, qt.HasLen, 4)
	c.Check(records[3], qt.Matches, "end n/lm false the deadline cannot be met: .*")
	c.Check(w.Moves.Moves[0].Since.Before(noon.Add(10*time.Minute)), qt.IsTrue)
}

func TestNotesOnOneServiceQueueAndOneFromAnotherVersionIsUndone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("lm"))
	next := change("lm")
	next.From, next.To = build("2"), build("3")
	w.addNote("o", 2*time.Hour, next)
	w.addNote("p", 2*time.Hour, change("lm"))
	w.addEndpoints("lm", 2)
	records := w.run(700, w.proveAll)
	c.Check(records[6:8], qt.DeepEquals, []string{"end n/lm true proved", "open o/lm"})
	c.Check(records[len(records)-2:], qt.DeepEquals, []string{
		"open p/lm", `end p/lm false it starts from version "1", but version "3" is in force`,
	})
}

func TestChangesOfANoteKeepTheirOrder(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("b", "a"), change("a"))
	w.addEndpoints("a", 2)
	w.addEndpoints("b", 2)
	w.BadVersions = []recorder.BadVersion{{Move: recorder.MoveID{Note: "n", Service: "a"}, Version: "m@2", Reason: "failures"}}
	c.Check(w.run(100, w.proveAll), qt.DeepEquals, []string{
		"claim", "open n/a", "bad n/a", "end n/a false the new version is bad: failures",
		"open n/b", `end n/b false the change of service "a" in the same note was undone`,
	})
}

func TestLoadsOfTheNearestDeadlineGoFirstWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(change("a"))
	w.Configuration.Configuration.Services = append(w.Configuration.Configuration.Services,
		dotterelpulley.ServiceSettings{ID: "b", InitialBuild: build("1")})
	w.addNote("o", 30*time.Minute, change("b"))
	w.addEndpoints("a", 4)
	w.addEndpoints("b", 4)
	w.tick(noon)
	w.tick(noon.Add(time.Second))
	w.tick(noon.Add(2 * time.Second))
	w.orders = orders{}
	_, orders := w.tick(noon.Add(3 * time.Second))
	c.Assert(orders, qt.HasLen, 2)
	for _, o := range orders {
		c.Check(string(o.Endpoint), qt.Matches, "b.*")
		c.Check(o.Want, qt.DeepEquals, []dotterelpulley.VersionID{"m@1", "m@2"})
		c.Check(w.MaySend(o, noon.Add(time.Hour-time.Second)), qt.IsFalse)
		c.Check(w.MaySend(o, noon.Add(time.Minute)), qt.IsTrue)
	}
}

func TestSnapshotsAreMadeInTimeAndAccepted(t *testing.T) {
	for _, row := range []struct {
		name string
		tail Tail
		due  bool
	}{
		{"a short and young tail", Tail{Records: 10, Oldest: noon}, false},
		{"a long tail", Tail{Records: maxTailRecords + 1, Oldest: noon}, true},
		{"an old tail", Tail{Records: 1, Oldest: noon.Add(-DefaultRetention / 3)}, true},
		{"no tail", Tail{}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld()
			w.Configuration.Notes = nil
			w.tick(noon)
			w.Tails.Moves = row.tail
			w.Tails.Moves.Through = recorder.Position{Offset: appender.Offset(w.appended)}
			records, _ := w.tick(noon.Add(time.Second))
			want := []string(nil)
			if row.due {
				want = []string{"recorder.MovesSnapshot"}
			}
			c.Check(records, qt.DeepEquals, want)
		})
	}
}
