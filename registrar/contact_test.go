package registrar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

// gone is what a read tells in which the endpoint was removed.
func gone(id dotterelpulley.EndpointID) Batch {
	return Batch{Removed: []dotterelpulley.EndpointID{id}}
}

// back is when a host that was cut off at the start reads the store again.
var back = start.Add(3 * time.Second)

// cutOff returns a host that read the store until start and again when it was back, when an endpoint was gone.
func cutOff() *Registrar {
	var r Registrar
	r.ApplyStore(start.Add(-time.Minute), Batch{Complete: true, Records: []Record{live("a", 1, 1), live("left", 1, 1)}})
	for at := start.Add(-time.Minute); !at.After(start); at = at.Add(time.Second) {
		r.ApplyStore(at, Batch{})
	}
	r.ApplyStore(back, gone("left"))
	return &r
}

// A host that was cut off took that for an outage of the store and sent to an endpoint 2.8 s after it had left.
func TestAHostThatWasCutOffDropsEndpointsThatLeftMeanwhile(t *testing.T) {
	c := qt.New(t)
	r := cutOff()
	c.Assert(states(r), qt.DeepEquals, known{"a": "live", "left": "live"})
	c.Assert(r.Pending().Refutable, qt.IsTrue)

	changes := r.ApplyContact(back, Contact{Since: start.Add(-time.Hour), Until: start.Add(2500 * time.Millisecond)})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(states(r), qt.DeepEquals, known{"a": "live"})
	// What leaves after that isn't kept either.
	r.ApplyStore(start.Add(3500*time.Millisecond), gone("a"))
	c.Assert(states(r), qt.DeepEquals, known{})
}

func TestContactsThatDoNotCoverTheCutRefuteNothing(t *testing.T) {
	for name, told := range map[string]Contact{
		"none":              {},
		"before":            {Since: start.Add(-time.Hour), Until: start.Add(time.Second)},
		"after":             {Since: start.Add(2 * time.Second), Until: back},
		"ends out of order": {Since: back, Until: start.Add(-time.Hour)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := cutOff()
			r.ApplyContact(back, told)
			c.Assert(states(r), qt.DeepEquals, known{"a": "live", "left": "live"})
		})
	}
}

// A host that was frozen during its question, and through the outage, would take the answer of before for one of now.
func TestASlowAnswerExtendsNoContact(t *testing.T) {
	c := qt.New(t)
	// The other host answered at the start; its answer is read when the outage is over.
	told := ToldContact(start, back, time.Hour, 0)
	c.Assert(told.Until, qt.Equals, start)
	r := cutOff()
	r.ApplyContact(back, told)
	c.Assert(states(r), qt.DeepEquals, known{"a": "live", "left": "live"})
	// A contact that began within the call's time isn't known to have begun before it.
	r.ApplyContact(back, ToldContact(start.Add(-time.Minute), back, 2*time.Second, 0))
	c.Assert(states(r), qt.DeepEquals, known{"a": "live", "left": "live"})
}

// Contacts of several hosts cover a cut together.
func TestHostsThatReadInTurnRefuteAnOutage(t *testing.T) {
	c := qt.New(t)
	var other Registrar
	other.ApplyContact(start, Contact{Since: start.Add(-time.Hour), Until: start.Add(time.Second)})
	other.ApplyContact(start, Contact{Since: start.Add(2 * time.Second), Until: back})
	r := cutOff()
	r.ApplyContact(back, other.Contact())
	c.Assert(states(r), qt.DeepEquals, known{"a": "live"})
}

// A missing endpoint was removed only by the next read after its grace, up to 0.8 s later.
func TestTheGraceEndsWithoutARead(t *testing.T) {
	c := qt.New(t)
	r := cutOff()
	c.Assert(r.Pending().Until, qt.Equals, back.Add(expiryGrace))
	c.Assert(r.RemoveExpired(back.Add(expiryGrace-1)), qt.HasLen, 0)
	c.Assert(r.RemoveExpired(back.Add(expiryGrace)), qt.HasLen, 1)
	c.Assert(states(r), qt.DeepEquals, known{"a": "live"})
}

// A host that began to read in an outage dropped the endpoints whose registrations had expired, as it knew of no read before.
func TestAHostThatBeginsToReadInAnOutageKeepsEndpointsThatExpired(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyPeer(start, Batch{Complete: true, Records: []Record{live("a", 1, 1)}})
	r.ApplyContact(start, Contact{Since: start.Add(-time.Hour), Until: start})
	r.PauseReading()
	r.NoteFailure()
	r.ApplyStore(start.Add(4*time.Second), Batch{Complete: true})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "live"})
}

// A host that takes over from readers that ended has no reason to doubt what it reads.
func TestANewReaderKeepsNothingThatTheStoreLacks(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyPeer(start, Batch{Complete: true, Records: []Record{live("a", 1, 1)}})
	r.ApplyContact(start, Contact{Since: start.Add(-time.Hour), Until: start})
	r.PauseReading()
	r.ApplyStore(start.Add(4*time.Second), Batch{Complete: true})
	c.Assert(states(&r), qt.DeepEquals, known{})
}

// A contact says nothing of registrations that a copy of the store lacks.
func TestAContactDoesNotRefuteACopy(t *testing.T) {
	c := qt.New(t)
	var r Registrar
	r.ApplyStore(start, Batch{Era: 1, Complete: true, Records: []Record{live("a", 1, 1)}})
	r.ApplyStore(start.Add(time.Second), Batch{Era: 2, Complete: true})
	c.Assert(r.Pending().Refutable, qt.IsFalse)
	r.ApplyContact(start.Add(time.Second), Contact{Since: start.Add(-time.Hour), Until: start.Add(time.Second)})
	c.Assert(states(&r), qt.DeepEquals, known{"a": "live"})
}

// Hosts that are cut off from the store and from each other at any times drop what leaves as soon as they are back, and keep
// what only an outage let expire for as long as its endpoint may take to write it again.
func TestHostsTellTheirOwnCutsFromOutages(t *testing.T) {
	const (
		hosts = 4
		tick  = 100 * time.Millisecond
		read  = 8
	)
	rapid.Check(t, func(t *rapid.T) {
		type span struct{ from, until int }
		in := func(tick int, spans ...span) bool {
			for _, s := range spans {
				if tick >= s.from && tick < s.until {
					return true
				}
			}
			return false
		}
		draw := func(label string) span {
			from := rapid.IntRange(20, 80).Draw(t, label)
			return span{from, from + rapid.IntRange(1, 60).Draw(t, label+" for")}
		}
		outage := rapid.Bool().Draw(t, "outage")
		var down span
		if outage {
			down = span{30, 30 + rapid.IntRange(40, 60).Draw(t, "down for")}
		}
		cuts := make([]span, hosts)
		// The last host is never cut off itself.
		for i := range hosts - 1 {
			cuts[i] = draw(fmt.Sprint("cut ", i))
		}
		leavesAt := rapid.IntRange(20, 140).Draw(t, "leaves")
		if outage {
			leavesAt = down.from + 1
		}
		var all [hosts]Registrar
		for i := range all {
			all[i].ApplyStore(start, Batch{Complete: true, Records: []Record{live("a", 1, 1)}})
		}
		lastReach := [hosts]int{}
		for now := 1; now < 200; now++ {
			at := start.Add(time.Duration(now) * tick)
			for i := range all {
				if in(now, cuts[i]) {
					lastReach[i] = now
				}
				if now%read == i {
					if in(now, down, cuts[i]) {
						all[i].NoteFailure()
						continue
					}
					b := Batch{}
					if now >= leavesAt {
						b = gone("a")
					}
					all[i].ApplyStore(at, b)
				}
				for j := range all {
					if all[i].Pending().Refutable && i != j && !in(now, cuts[i], cuts[j]) {
						all[i].ApplyContact(at, all[j].Contact())
					}
				}
				all[i].RemoveExpired(at)
				_, live := states(&all[i])["a"]
				reachable := max(leavesAt, lastReach[i])
				switch {
				case outage && !live && now < down.until:
					t.Fatalf("host %d dropped at %d what expired in the outage until %d", i, now, down.until)
				case outage && !live && at.Before(start.Add(time.Duration(down.until)*tick+expiryGrace)):
					t.Fatalf("host %d dropped at %d what expired in the outage until %d, within its grace", i, now, down.until)
				case !outage && live && now > reachable+read+1:
					t.Fatalf("host %d keeps at %d what left at %d; it reaches the store since %d", i, now, leavesAt, lastReach[i])
				}
			}
		}
		for i := range all {
			if len(states(&all[i])) > 0 {
				t.Fatalf("host %d never drops the endpoint", i)
			}
		}
	})
}
