package recorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// TestVerdictsOnMoves applies the records in order; want is the expected reason of refusal, or "" for an accepted record.
func TestVerdictsOnMoves(t *testing.T) {
	c := qt.New(t)
	id := recorder.MoveID{Note: "n", Service: "lm"}
	other := recorder.MoveID{Note: "p", Service: "lm"}
	to := dotterelpulley.Build{Model: "m", Version: "2"}
	deadline := baseTime.Add(time.Minute)
	open := func(fence appender.Offset, id recorder.MoveID) recorder.Opening {
		return recorder.Opening{Fence: fence, Move: id, Action: dotterelpulley.ChangeReplace, To: to, Deadline: deadline, CanaryShare: 0.1}
	}
	var s recorder.MovesState
	for i, row := range []struct {
		body          recorder.Body
		afterDeadline bool
		want          string
	}{
		{recorder.Claim{Holder: "a"}, false, ""},                                                           // 1
		{recorder.Claim{Holder: "b"}, false, "the claim follows fence 0, .*"},                              // 2
		{open(2, id), false, "fence 2 is not the newest, 1"},                                               // 3
		{open(1, id), false, ""},                                                                           // 4
		{open(1, id), false, "move n/lm was opened before"},                                                // 5
		{open(1, other), false, "move n/lm is running"},                                                    // 6
		{recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.2}, false, "share 0.2 of .* not allowed"},   // 7
		{recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.1}, false, ""},                              // 8
		{recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.1}, false, "step 1 .* not follow step 1"},   // 9
		{recorder.Claim{Holder: "b", PreviousFence: 1}, false, ""},                                         // 10
		{recorder.Step{Fence: 1, Move: id, Number: 2, Share: 0.5}, false, "fence 1 is not the newest, 10"}, // 11
		{recorder.Renewal{Fence: 1}, false, "fence 1 is not the newest, 10"},                               // 12
		{recorder.Outcome{Fence: 10, Move: id, Done: true}, false, ".*has not had the last share"},         // 13
		{recorder.Step{Fence: 10, Move: id, Number: 2, Share: 1}, false, ""},                               // 14
		{recorder.Outcome{Fence: 10, Move: id, Done: true}, true, ".*its deadline has passed"},             // 15
		{recorder.BadVersion{Move: id}, false, ""},                                                         // 16
		{recorder.Outcome{Fence: 10, Move: id, Done: true}, false, ".*its version is bad"},                 // 17
		{recorder.Step{Fence: 10, Move: id, Number: 3, Share: 1}, false, ".*has a bad version"},            // 18
		{recorder.Outcome{Fence: 10, Move: id}, true, ""},                                                  // 19
		{recorder.BadVersion{Move: id}, false, "move n/lm is not running"},                                 // 20
		{recorder.Release{Fence: 10}, false, ""},                                                           // 21
		{recorder.Renewal{Fence: 10}, false, "the lease of fence 10 was released"},                         // 22
	} {
		position := recorder.Position{Offset: appender.Offset(i + 1), Appended: baseTime}
		if row.afterDeadline {
			position.Appended = deadline.Add(time.Second)
		}
		v := s.Apply(position, recorder.Envelope{ID: "x", Body: row.body})
		c.Check(v.Reason, qt.Matches, row.want, qt.Commentf("record %d", i+1))
		c.Check(v.Accepted, qt.Equals, row.want == "", qt.Commentf("record %d", i+1))
	}
}
