package announcer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestChangesAreSentWhole(t *testing.T) {
	c := qt.New(t)
	m := Change{
		Host: "front-a-1", Start: 1 << 60, Sequence: 7, Number: 9,
		Loads:   []Load{{Key: 1, Running: 3, PromptTokens: 7000}, {Key: 2}},
		Waiting: []Waiting{{Service: 5, Priority: 1, Rank: 2, Count: 4}}, DeadEndpoints: []uint32{8},
	}
	got, err := Decode(m.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, Message(m))
}

// Datagrams may overtake each other: a change older than another one, or than the last digest, must not count.
func TestOnlyNewerChangesCount(t *testing.T) {
	c := qt.New(t)
	var a Announcer
	a.Receive(start, digest("b", 1, 5))
	change := func(sequence, number uint64) Change {
		return Change{Host: "b", Start: a.members["b"].Start, Sequence: sequence, Number: number}
	}
	c.Check(a.ReceiveChange(Change{Host: "unknown", Start: 1, Sequence: 5, Number: 1}), qt.IsFalse)
	c.Check(a.ReceiveChange(change(5, 2)), qt.IsTrue)
	c.Check(a.ReceiveChange(change(5, 1)), qt.IsFalse)
	c.Check(a.ReceiveChange(change(4, 3)), qt.IsFalse)
	other := change(5, 4)
	other.Start++
	c.Check(a.ReceiveChange(other), qt.IsFalse)
	a.Receive(start, digest("b", 1, 6))
	c.Check(a.ReceiveChange(change(5, 5)), qt.IsFalse)
	c.Check(a.ReceiveChange(change(7, 6)), qt.IsTrue, qt.Commentf("the digest before it may be lost"))
}

// Changes must cost a host a bounded number of messages a second, however large its fleet is.
func TestChangesArePacedBySizeOfTheFleet(t *testing.T) {
	c := qt.New(t)
	const maxMessages = 1600
	for _, count := range []int{1, 8, 16, 17, 58, 127, 128, 294} {
		var a Announcer
		for i := range count {
			d := digest(fmt.Sprint("h", i), 1, 1)
			d.PeerAddress = dotterelpulley.Address(fmt.Sprint("h", i))
			a.Receive(start, d)
		}
		interval := a.ChangeInterval()
		if interval == 0 {
			c.Check(count >= 128, qt.IsTrue)
			continue
		}
		perSecond := float64(len(a.ChangeTargets(start))) * float64(time.Second) / float64(interval)
		c.Check(perSecond <= maxMessages, qt.IsTrue, qt.Commentf("%d hosts: %.0f", count, perSecond))
	}
}
