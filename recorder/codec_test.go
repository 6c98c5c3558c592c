package recorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

var baseTime = time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)

// bodies returns every variant of Body with all fields non-zero, so that the codec cannot drop one unnoticed.
func bodies() []recorder.Body {
	build := dotterelpulley.Build{Version: "2", Model: "m", Adapter: "a"}
	from := dotterelpulley.Build{Version: "1", Model: "m", Adapter: "a"}
	services := []dotterelpulley.ServiceSettings{
		{ID: "lm", Kind: dotterelpulley.ServiceModel, InitialBuild: build, ChecksFence: true, Repeatable: true},
		{ID: "app", Kind: dotterelpulley.ServicePlain},
	}
	organisations := []dotterelpulley.OrganisationSettings{{ID: "o", Weight: 3}}
	tier := dotterelpulley.TierSettings{DefaultDeadline: time.Minute, FirstTokenTarget: time.Second, TokenGapTarget: time.Millisecond}
	note := dotterelpulley.ReleaseNote{
		ID: "n", Deadline: baseTime, CanaryShare: 0.1, ObservationTime: time.Minute,
		Changes: []dotterelpulley.Change{{
			Action: dotterelpulley.ChangeReplace, Service: "lm", From: from, To: build,
			After: []dotterelpulley.ServiceID{"x"},
		}},
	}
	configuration := dotterelpulley.Configuration{Revision: 7, Services: services, Organisations: organisations}
	for t := range configuration.Tiers {
		configuration.Tiers[t] = tier
	}
	id := recorder.MoveID{Note: "n", Service: "lm"}
	move := recorder.Move{
		ID: id, Action: dotterelpulley.ChangeWithdraw, From: from, To: build, Deadline: baseTime, CanaryShare: 0.2,
		ObservationTime: time.Second, Phase: recorder.PhaseUndone, Number: 2, Share: 0.5, Since: baseTime, Bad: true,
		Reason: "why", Opened: 3, Ended: 9,
	}
	lease := recorder.Lease{Holder: "h", Duration: time.Second, Fence: 3, LastRenewal: 5, Released: true}
	return []recorder.Body{
		recorder.Delta{
			Services: services, Organisations: organisations, Tiers: []recorder.TierDelta{{Tier: 2, Settings: tier}},
			RemoveServices: []dotterelpulley.ServiceID{"s"}, RemoveOrganisations: []dotterelpulley.OrganisationID{"p"},
		},
		recorder.Note{Note: note},
		recorder.ConfigurationSnapshot{Through: 4, State: recorder.ConfigurationState{
			Configuration: configuration, NewestRecord: "r", Notes: []recorder.AcceptedNote{{Offset: 2, Appended: baseTime, Note: note}},
		}},
		recorder.Claim{Holder: "h", Duration: time.Second, PreviousFence: 4},
		recorder.Renewal{Fence: 4},
		recorder.Release{Fence: 4},
		recorder.Opening{
			Fence: 4, Move: id, Action: dotterelpulley.ChangeReplace, From: from, To: build,
			Deadline: baseTime, CanaryShare: 0.2, ObservationTime: time.Second,
		},
		recorder.Step{Fence: 4, Move: id, Number: 2, Share: 0.5, Reason: "why"},
		recorder.Outcome{Fence: 4, Move: id, Done: true, Reason: "why"},
		recorder.BadVersion{Move: id, Version: "m@2", Reason: "why", ReportedBy: "h"},
		recorder.MovesSnapshot{Through: 8, State: recorder.MovesState{
			Lease: lease, Moves: []recorder.Move{move},
			InForce: map[dotterelpulley.ServiceID]dotterelpulley.Build{"lm": build},
		}},
	}
}

func TestCodecRoundTripsEveryField(t *testing.T) {
	c := qt.New(t)
	for _, body := range bodies() {
		env := recorder.Envelope{ID: "id", Base: 6, Body: body}
		data, err := recorder.Encode(env)
		c.Assert(err, qt.IsNil)
		decoded, err := recorder.Decode(data)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", data))
		c.Check(decoded, qt.DeepEquals, env)
	}
}

func FuzzDecodeNeverPanicsAndIsStable(f *testing.F) {
	for _, body := range bodies() {
		data, err := recorder.Encode(recorder.Envelope{ID: "id", Body: body})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := recorder.Decode(data)
		if err != nil {
			return
		}
		encoded, err := recorder.Encode(env)
		if err != nil {
			t.Fatalf("encode the decoded record: %v", err)
		}
		decoded, err := recorder.Decode(encoded)
		if err != nil {
			t.Fatalf("decode %s: %v", encoded, err)
		}
		reencoded, err := recorder.Encode(decoded)
		if err != nil || string(reencoded) != string(encoded) {
			t.Fatalf("%s was encoded again as %s (%v)", encoded, reencoded, err)
		}
	})
}
