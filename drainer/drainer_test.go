package drainer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/drainer"
)

func TestPhases(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	type step struct {
		after      time.Duration
		signal     bool
		inProgress int
		signedOff  bool
		want       drainer.Phase
	}
	for name, steps := range map[string][]step{
		"finishes": {
			{inProgress: 3, want: drainer.Serving},
			{signal: true, want: drainer.Draining},
			{after: 9 * time.Second, inProgress: 1, want: drainer.Draining},
			{after: 9 * time.Second, want: drainer.SigningOff},
			{after: 9 * time.Second, signedOff: true, want: drainer.Closing},
		},
		"hand-over times out": {
			{signal: true, want: drainer.Draining},
			{want: drainer.SigningOff},
			{after: 2 * time.Second, want: drainer.SigningOff},
			{after: 3 * time.Second, want: drainer.Closing},
		},
		"limit": {
			{signal: true, want: drainer.Draining},
			{after: 10 * time.Second, inProgress: 1, want: drainer.Closing},
		},
		"second signal": {
			{signal: true, want: drainer.Draining},
			{after: time.Second, signal: true, want: drainer.Closing},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := drainer.Drainer{Timeout: 10 * time.Second, SignOffTimeout: 3 * time.Second}
			for i, s := range steps {
				got := d.Tick(start.Add(s.after), s.inProgress, s.signedOff)
				if s.signal {
					got = d.Signal(start.Add(s.after))
				}
				qt.Check(t, got, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}
