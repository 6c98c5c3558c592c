package claimer_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// TestClaimsAreReadAtOnceBesideTheRoster hands ranges to a host that has just asked for the roster.
func TestClaimsAreReadAtOnceBesideTheRoster(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	first := claimer.Member{Host: "a", Incarnation: "a-1", Peer: "a"}
	joining := &claimer.Claimer{Self: claimer.Member{Host: "b", Incarnation: "b-1", Peer: "b"}}
	step := func(e claimer.Event) []claimer.Action {
		now = now.Add(time.Millisecond)
		return joining.Step(now, e)
	}
	read := func(offset claimer.Offset, record claimer.RosterRecord) []claimer.Action {
		records := []claimer.StoredRosterRecord{{Offset: offset, Appended: now, Record: record}}
		return step(claimer.RosterRead{SentAt: now, Records: records, AtEnd: true})
	}
	readsClaims := func(actions []claimer.Action) bool {
		return slices.ContainsFunc(actions, func(a claimer.Action) bool {
			_, ok := a.(claimer.ReadClaims)
			return ok
		})
	}
	step(claimer.Tick{})
	read(1, claimer.Join{Member: first})
	c.Assert(readsClaims(read(2, claimer.Join{Member: joining.Self})), qt.IsFalse)
	c.Check(readsClaims(read(3, claimer.Yield{Incarnation: first.Incarnation, Epoch: 2})), qt.IsTrue)
}
