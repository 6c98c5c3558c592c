package claimer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// TestPreviousHolderIsAskedUnlessItSentTheRequest submits requests that came before the handover of their range.
func TestPreviousHolderIsAskedUnlessItSentTheRequest(t *testing.T) {
	const asked, run = "claimer.Forward", "claimer.Enqueue"
	for _, tc := range []struct {
		name    string
		visited []dotterelpulley.HostID
		want    string
	}{
		{"came from a caller", nil, asked},
		{"came from a host that never held the range", []dotterelpulley.HostID{"c"}, asked},
		{"came from the previous holder", []dotterelpulley.HostID{"a"}, run},
		{"came from the previous holder by way of this host", []dotterelpulley.HostID{"b", "a"}, run},
		{"passed the previous holder before it held the range", []dotterelpulley.HostID{"a", "c"}, asked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.UnixMilli(1_800_000_000_000)
			arrived := now
			previous := claimer.Member{Host: "a", Incarnation: "a-1", Peer: "a"}
			holder := &claimer.Claimer{Self: claimer.Member{Host: "b", Incarnation: "b-1", Peer: "b"}}
			step := func(e claimer.Event) []claimer.Action {
				now = now.Add(time.Millisecond)
				return holder.Step(now, e)
			}
			step(claimer.Tick{})
			var joinID claimer.RecordID
			for i, record := range []claimer.RosterRecord{
				claimer.Join{Member: previous},
				claimer.Join{Member: holder.Self},
				claimer.Drain{Incarnation: previous.Incarnation},
				claimer.Yield{Incarnation: previous.Incarnation, Epoch: 3},
			} {
				stored := claimer.StoredRosterRecord{ID: joinID, Offset: claimer.Offset(i + 1), Appended: now, Record: record}
				joinID = ""
				actions := step(claimer.RosterRead{SentAt: now, Records: []claimer.StoredRosterRecord{stored}, AtEnd: true})
				for _, action := range actions {
					if a, ok := action.(claimer.AppendRoster); ok {
						joinID = a.ID
					}
				}
			}
			step(claimer.ClaimsRead{SentAt: now, AtEnd: true})
			actions := step(claimer.Submit{
				Ticket:  1,
				Key:     dotterelpulley.Key{Organisation: "org", Idempotency: "key"},
				Arrived: arrived,
				Visited: tc.visited,
			})
			got := ""
			for _, action := range actions {
				switch action.(type) {
				case claimer.Forward, claimer.Enqueue, claimer.Refuse:
					got = fmt.Sprintf("%T", action)
				}
			}
			qt.Check(t, got, qt.Equals, tc.want)
		})
	}
}
