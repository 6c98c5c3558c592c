package registrar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

var start = time.Unix(1_700_000_000, 0)

// record returns the record that an endpoint started at the given second writes with the given sequence.
func record(id string, startedAt, sequence int64, state dotterelpulley.EndpointState) Record {
	return Record{Registration: Registration{
		Endpoint:  dotterelpulley.Endpoint{ID: dotterelpulley.EndpointID(id), Service: "s", Address: "a:1", State: state},
		StartedAt: time.Unix(startedAt, 0), Sequence: sequence,
	}}
}

func live(id string, startedAt, sequence int64) Record {
	return record(id, startedAt, sequence, dotterelpulley.EndpointLive)
}

func leaving(id string, sequence int64) Record {
	return record(id, 1, sequence, dotterelpulley.EndpointLeaving)
}

// states returns the state of each endpoint.
func states(r *Registrar) map[dotterelpulley.EndpointID]string {
	got := map[dotterelpulley.EndpointID]string{}
	for _, e := range r.Registrations() {
		got[e.ID] = e.State.String()
	}
	return got
}

type known = map[dotterelpulley.EndpointID]string

func TestACopyOfTheStoreBringsNothingBack(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{live("stays", 1, 5), live("leaves", 1, 5), live("gone", 1, 5)}})
	r.ApplyStore(start, Batch{Era: 1, Records: []Record{leaving("leaves", 8)}, Removed: []dotterelpulley.EndpointID{"gone"}})
	c.Assert(states(&r), qt.DeepEquals, known{"stays": "live", "leaves": "leaving"})

	r.ApplyStore(start.Add(time.Second), Batch{Era: 2, Complete: true, Records: []Record{live("stays", 1, 5), live("leaves", 1, 5), live("gone", 1, 5)}})
	c.Assert(states(&r), qt.DeepEquals, known{"stays": "live", "leaves": "leaving"})

	r.ApplyStore(start.Add(2*time.Second), Batch{Era: 2, Records: []Record{live("gone", 1, 9), live("leaves", 3, 1)}})
	c.Assert(states(&r), qt.DeepEquals, known{"stays": "live", "leaves": "live", "gone": "live"},
		qt.Commentf("an endpoint that writes again lives, and a later start of one that left is another instance"))
}

func TestRegistrationsMissingFromACopyAreKeptForAWhile(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{live("written", 1, 1), live("dead", 1, 1), leaving("leaves", 1)}})
	r.ApplyStore(start.Add(time.Second), Batch{Era: 2, Complete: true})
	c.Assert(states(&r), qt.DeepEquals, known{"written": "live", "dead": "live"})
	r.ApplyStore(start.Add(2*time.Second), Batch{Era: 2, Records: []Record{live("written", 1, 2)}})
	r.ApplyStore(start.Add(time.Second+expiryGrace), Batch{Era: 2})
	c.Assert(states(&r), qt.DeepEquals, known{"written": "live"})
}

func TestSeveralCopiesInARow(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{live("a", 1, 1)}})
	for era := dotterelpulley.StoreEra(2); era < 6; era++ {
		at := start.Add(time.Duration(era) * time.Second)
		r.ApplyStore(at, Batch{Era: era, Complete: true})
		c.Assert(states(&r), qt.DeepEquals, known{"a": "live"}, qt.Commentf("era %d", era))
		r.ApplyStore(at, Batch{Era: era, Records: []Record{live("a", 1, int64(era))}})
	}
	r.ApplyStore(start.Add(10*time.Second), Batch{Era: 9, Complete: true, Records: []Record{leaving("a", 9)}})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "leaving"})
}

// A copy may be older than the one before it. Found by TestEndpointsThatLeftStayAwayThroughAnyCopies in 5,000 schedules.
func TestAnOlderCopyDoesNotMakeANewerOneLookNew(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{leaving("a", 5)}})
	r.ApplyStore(start, Batch{Era: 2, Complete: true, Records: []Record{leaving("a", 1)}})
	r.ApplyStore(start, Batch{Era: 3, Complete: true, Records: []Record{live("a", 1, 3)}})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "leaving"})
}

func TestAPeerInAnEarlierEraIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	_, ok := r.ApplyPeer(start, Batch{Era: 2, Complete: true, Records: []Record{live("new", 1, 1)}})
	c.Assert(ok, qt.IsTrue)
	_, ok = r.ApplyPeer(start, Batch{Era: 1, Complete: true, Records: []Record{live("old", 1, 1)}})
	c.Assert(ok, qt.IsFalse)
	c.Assert(states(&r), qt.DeepEquals, known{"new": "live"})
}

// Guards against a peer that has just started after the store's return and knows the copy alone.
func TestAPeerThatKnowsTheCopyAloneBringsNothingBack(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyPeer(start, Batch{Era: 1, Complete: true, Records: []Record{live("leaves", 1, 1), live("young", 1, 1)}})
	r.ApplyPeer(start, Batch{Era: 1, Records: []Record{leaving("leaves", 2)}})
	r.ApplyPeer(start, Batch{Era: 2, Complete: true, Records: []Record{live("leaves", 1, 1)}})
	c.Assert(states(&r), qt.DeepEquals, known{"leaves": "leaving", "young": "live"})
	r.ApplyPeer(start.Add(expiryGrace), Batch{Era: 2})
	c.Assert(states(&r), qt.DeepEquals, known{"leaves": "leaving"})
}

func TestRegistrationsThatExpireDuringAnOutageAreKeptForAWhile(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Complete: true, Records: []Record{live("renewed", 1, 1), live("dead", 1, 1)}})
	back := start.Add(outageThreshold + time.Second)
	r.ApplyStore(back, Batch{Removed: []dotterelpulley.EndpointID{"renewed", "dead"}})
	c.Assert(states(&r), qt.DeepEquals, known{"renewed": "live", "dead": "live"})
	r.ApplyStore(back.Add(time.Second), Batch{Records: []Record{live("renewed", 1, 2)}})
	r.ApplyStore(back.Add(expiryGrace), Batch{})
	c.Assert(states(&r), qt.DeepEquals, known{"renewed": "live"})
	r.ApplyStore(back.Add(expiryGrace+time.Second), Batch{Removed: []dotterelpulley.EndpointID{"renewed"}})
	c.Assert(states(&r), qt.DeepEquals, known{}, qt.Commentf("no outage came before"))
}

func TestAnInstanceThatSaidItLeavesStaysSo(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{live("a", 1, 1)}})
	key, ok := r.Instance("a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.MarkLeaving(start, key), qt.IsTrue)
	c.Assert(r.MarkLeaving(start, key), qt.IsFalse)
	c.Assert(states(&r), qt.DeepEquals, known{"a": "leaving"})
	r.ApplyStore(start, Batch{Era: 1, Records: []Record{live("a", 1, 2)}})
	r.ApplyStore(start, Batch{Era: 1, Removed: []dotterelpulley.EndpointID{"a"}})
	r.ApplyStore(start, Batch{Era: 2, Complete: true, Records: []Record{live("a", 1, 3)}})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "leaving"})
	r.ApplyStore(start, Batch{Era: 2, Records: []Record{live("a", 2, 1)}})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "live"}, qt.Commentf("another start"))
}

func TestAnUnreadableRecordNamesNoEndpointAndRemovesNone(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Complete: true, Records: []Record{live("a", 1, 1)}, Unreadable: []dotterelpulley.EndpointID{"b"}})
	r.ApplyStore(start, Batch{Complete: true, Unreadable: []dotterelpulley.EndpointID{"a"}})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "live"})
}

// An endpoint that has left or was removed isn't live again for this host until it writes again, whichever copies the store
// returns from; one that lives is known again once the grace after the last return is over.
func TestEndpointsThatLeftStayAwayThroughAnyCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state map[string]Record
		var r Registrar
		now, era := start, dotterelpulley.StoreEra(1)
		store, acted := state{}, map[string]int64{}
		copies := []state{{}}
		sequences := map[string]int64{}
		clone := func(s state) state {
			c := state{}
			for k, v := range s {
				c[k] = v
			}
			return c
		}
		snapshot := func() Batch {
			b := Batch{Era: era, Complete: true}
			for _, v := range store {
				b.Records = append(b.Records, v)
			}
			return b
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			// The host reads all the while, so that no time between two steps is an outage.
			r.ApplyStore(now, Batch{Era: era})
			id := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			sequences[id]++
			switch rapid.SampledFrom([]string{"write", "leave", "remove", "copy", "return"}).Draw(t, "step") {
			case "write":
				store[id] = live(id, 1, sequences[id])
				delete(acted, id)
				r.ApplyStore(now, Batch{Era: era, Records: []Record{store[id]}})
			case "leave":
				store[id] = leaving(id, sequences[id])
				acted[id] = sequences[id]
				r.ApplyStore(now, Batch{Era: era, Records: []Record{store[id]}})
			case "remove":
				if _, ok := store[id]; !ok || now.Sub(r.outage.until) < expiryGrace {
					continue
				}
				delete(store, id)
				acted[id] = sequences[id]
				r.ApplyStore(now, Batch{Era: era, Removed: []dotterelpulley.EndpointID{dotterelpulley.EndpointID(id)}})
			case "copy":
				copies = append(copies, clone(store))
			case "return":
				store = clone(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				era++
				r.ApplyStore(now, snapshot())
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			for _, e := range r.Registrations() {
				if _, left := acted[string(e.ID)]; left && e.State == dotterelpulley.EndpointLive {
					t.Fatalf("endpoint %s is live again after it left", e.ID)
				}
			}
		}
	})
}

// written returns the record with its offset.
func written(r Record, offset int64) Record {
	r.Written = offset
	return r
}

// A host that was cut off, or that had read the store a moment earlier, brought back endpoints that had left.
func TestAnOlderListOfAnotherHostBringsNothingBack(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Position: 20, Records: []Record{
		written(live("stays", 1, 5), 10), written(live("leaves", 1, 5), 11), written(live("gone", 1, 5), 12),
	}})
	r.ApplyStore(start.Add(time.Second), Batch{Era: 1, Position: 30, Records: []Record{written(leaving("leaves", 6), 25), written(live("new", 1, 1), 26)}, Removed: []dotterelpulley.EndpointID{"gone"}})
	want := known{"stays": "live", "leaves": "leaving", "new": "live"}
	c.Assert(states(&r), qt.DeepEquals, want)

	// The other host has since read the registrations written again, but not what came after them.
	older := Batch{Era: 1, Complete: true, Position: 24, Records: []Record{written(live("stays", 1, 7), 22), written(live("leaves", 1, 5), 11), written(live("gone", 1, 7), 24)}}
	_, current := r.ApplyPeer(start.Add(2*time.Second), older)
	c.Assert(current, qt.IsTrue)
	c.Assert(states(&r), qt.DeepEquals, want)

	// One that tells no offsets is judged by the sequence numbers of the endpoints.
	untold := Batch{Era: 1, Complete: true, Records: []Record{live("stays", 1, 7), live("leaves", 1, 5), live("gone", 1, 5), live("new", 1, 1)}}
	r.ApplyPeer(start.Add(2*time.Second), untold)
	c.Assert(states(&r), qt.DeepEquals, want)

	// What was written after the removal is news, whoever tells it.
	r.ApplyPeer(start.Add(3*time.Second), Batch{Era: 1, Position: 40, Records: []Record{written(live("gone", 2, 1), 35)}})
	want["gone"] = "live"
	c.Assert(states(&r), qt.DeepEquals, want)
}

// In any order of what several hosts have read of one log, the newest state of each endpoint stands.
func TestHostsThatReadOneLogAgreeInAnyOrder(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		ids := []dotterelpulley.EndpointID{"a", "b", "c"}
		type event struct {
			record  Record
			removed bool
		}
		var log []event
		seq := map[dotterelpulley.EndpointID]int64{}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			seq[id]++
			state := rapid.SampledFrom([]dotterelpulley.EndpointState{dotterelpulley.EndpointLive, dotterelpulley.EndpointLeaving}).Draw(t, "state")
			log = append(log, event{record(string(id), 1, seq[id], state), rapid.Bool().Draw(t, "removed")})
		}
		// listAt is the complete list of a host that has read the log up to the position.
		listAt := func(position int) Batch {
			newest := map[dotterelpulley.EndpointID]Record{}
			for i, e := range log[:position] {
				delete(newest, e.record.ID)
				if !e.removed {
					newest[e.record.ID] = written(e.record, int64(i)+1)
				}
			}
			b := Batch{Era: 1, Complete: true, Position: int64(position)}
			for _, id := range ids {
				if record, ok := newest[id]; ok {
					b.Records = append(b.Records, record)
				}
			}
			return b
		}
		var r, latest Registrar
		newest := rapid.IntRange(1, len(log)).Draw(t, "newest")
		latest.ApplyStore(start, listAt(newest))
		r.ApplyPeer(start, listAt(newest))
		for i := range rapid.IntRange(1, 8).Draw(t, "older lists") {
			r.ApplyPeer(start.Add(time.Duration(i)*time.Second), listAt(rapid.IntRange(1, newest).Draw(t, "position")))
		}
		c.Assert(states(&r), qt.DeepEquals, states(&latest))
	})
}

// A list, such as a copy of the store, holds endpoints that have ended; those that write after it was read run.
func TestEndpointsRunOnceTheyHaveWrittenAgain(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 2, Complete: true, Records: []Record{live("old", 1, 5), live("runs", 1, 5)}})
	c.Assert(r.Runs("old") || r.Runs("runs"), qt.IsFalse)
	r.ApplyStore(start.Add(time.Second), Batch{Era: 2, Records: []Record{live("runs", 1, 6), live("old", 1, 5)}})
	r.ApplyStore(start.Add(2*time.Second), Batch{Era: 2, Records: []Record{leaving("runs", 7)}})
	c.Assert(r.Runs("old"), qt.IsFalse)
	c.Assert(r.Runs("runs"), qt.IsTrue)
	r.ApplyStore(start.Add(3*time.Second), Batch{Era: 3, Complete: true, Records: []Record{live("old", 1, 5)}})
	c.Assert(r.Runs("old"), qt.IsFalse)
	c.Assert(r.Runs("none"), qt.IsFalse)
}
