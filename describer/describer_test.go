package describer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestStateRoundTrip(t *testing.T) {
	c := qt.New(t)
	h := Host{
		ID: "h", Zone: "z", State: "serving", Configuration: 7, SinceConfirmed: 1200 * time.Millisecond, ReadsStore: true, StoreLost: true,
		Members: []Member{{ID: "m", Zone: "y", State: "draining", SinceHeard: 80 * time.Millisecond, Configuration: 6}},
		Endpoints: []Endpoint{{
			ID: "e", Service: "s", Address: "127.0.0.1:1", State: "live", Slots: 11, Running: 2, PeerRunning: 3, PendingPrompt: 4000,
			EventInterval: 24 * time.Millisecond, PrefillPerToken: 20 * time.Microsecond, BlockedFor: 300 * time.Millisecond,
		}},
		Caps:         []Cap{{Organisation: "o", Level: 1.5, Used: 10, Allowed: 20}},
		RetryBudgets: []RetryBudget{{Service: "s", Available: 2.5, Burst: 4.5}},
	}
	data, err := Encode(h)
	c.Assert(err, qt.IsNil)
	got, err := Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, h)
}

func TestInvalidStateIsAnError(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "{", `{"proved":"soon"}`} {
		_, err := Decode([]byte(text))
		c.Check(err, qt.ErrorMatches, "decode state: .*", qt.Commentf("%q", text))
	}
}
