package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// TestRetryDelayLeavesTimeBeforeTheDeadline guards against a retry delay that is too long: an urgent request with a
// deadline of 3 s was refused after 0.75 s with a retry delay of 2 s, and the retry was then refused as too late. Found
// by the proof test TestOverloadShedsLowerTiersFirst/entry_host_killed_and_started_again, seed 1, under load.
func TestRetryDelayLeavesTimeBeforeTheDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	r := dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 2*time.Second, "the holder does not answer")
	c.Assert(capRetryAfter(r, now, now.Add(2250*time.Millisecond)).RetryAfter, qt.Equals, 1125*time.Millisecond)
	c.Assert(r.RetryAfter, qt.Equals, 2*time.Second, qt.Commentf("other subscribers have their own deadlines"))
	c.Assert(capRetryAfter(r, now, now.Add(time.Minute)), qt.Equals, r)
	c.Assert(capRetryAfter(r, now, now.Add(-time.Second)), qt.Equals, r)
}
