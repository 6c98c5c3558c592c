package publisher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/publisher"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func withOrganisations(o ...dotterelpulley.OrganisationSettings) dotterelpulley.Configuration {
	return dotterelpulley.Configuration{Organisations: o}
}

// TestLowerOffsetWinsBetweenRacingChanges publishes two changes from one base and appends the first again, as after a lost response.
func TestLowerOffsetWinsBetweenRacingChanges(t *testing.T) {
	c := qt.New(t)
	var s recorder.ConfigurationState
	first := publisher.NewConfigurationPublication(s.Configuration, withOrganisations(dotterelpulley.OrganisationSettings{ID: "a", Weight: 1}))
	second := publisher.NewConfigurationPublication(s.Configuration, withOrganisations(dotterelpulley.OrganisationSettings{ID: "b", Weight: 1}))
	for i, p := range []publisher.Publication{first, second, first} {
		v := s.Apply(recorder.Position{Offset: 4, Appended: startTime.Add(time.Duration(i))}, p.Envelope)
		c.Check(first.Observe(v), qt.Equals, i != 1)
		second.Observe(v)
	}
	won, _ := first.Verdict()
	lost, _ := second.Verdict()
	c.Check(won.Accepted, qt.IsTrue)
	c.Check(lost.Accepted, qt.IsFalse)
	c.Check(lost.LostTo, qt.Equals, first.Envelope.ID)
	c.Check(lost.Reason, qt.Equals, "based on revision 0, but revision 4 was in force")
	c.Check(s.Configuration.Organisations, qt.HasLen, 1)
}

func TestPublicationHoldsOnlyTheDifferences(t *testing.T) {
	c := qt.New(t)
	lm := dotterelpulley.ServiceSettings{ID: "lm", InitialBuild: dotterelpulley.Build{Model: "m", Version: "1"}}
	before := withOrganisations(dotterelpulley.OrganisationSettings{ID: "a", Weight: 1}, dotterelpulley.OrganisationSettings{ID: "b", Weight: 1})
	before.Services = []dotterelpulley.ServiceSettings{lm, {ID: "app", Kind: dotterelpulley.ServicePlain}}
	wanted := withOrganisations(dotterelpulley.OrganisationSettings{ID: "b", Weight: 2})
	wanted.Services = []dotterelpulley.ServiceSettings{lm}
	wanted.Tiers[1].DefaultDeadline = time.Second
	p := publisher.NewConfigurationPublication(before, wanted)
	c.Check(p.Envelope.Body, qt.DeepEquals, recorder.Body(recorder.Delta{
		Organisations:       []dotterelpulley.OrganisationSettings{{ID: "b", Weight: 2}},
		Tiers:               []recorder.TierDelta{{Tier: 1, Settings: wanted.Tiers[1]}},
		RemoveServices:      []dotterelpulley.ServiceID{"app"},
		RemoveOrganisations: []dotterelpulley.OrganisationID{"a"},
	}))
	s := recorder.ConfigurationState{Configuration: before}
	c.Check(s.Apply(recorder.Position{Offset: 9}, p.Envelope).Reason, qt.Equals, "")
	wanted.Revision = 9
	c.Check(s.Configuration, qt.DeepEquals, wanted)
	unchanged := publisher.NewConfigurationPublication(s.Configuration, wanted)
	c.Check(unchanged.Empty(), qt.IsTrue)
}

func TestVersionInForceCannotBeWithdrawn(t *testing.T) {
	c := qt.New(t)
	file := []byte(`id = "n"
deadline = "1h"
[[changes]]
action = "withdraw"
service = "lm"
from = { version = "1" }
`)
	configuration := dotterelpulley.Configuration{Services: []dotterelpulley.ServiceSettings{{ID: "lm"}}}
	inForce := func(version dotterelpulley.VersionID) publisher.BuildLookup {
		return func(dotterelpulley.ServiceID) (dotterelpulley.Build, bool) {
			return dotterelpulley.Build{Version: version}, true
		}
	}
	_, err := publisher.ParseNote("note.toml", file, configuration, inForce("1"), startTime)
	c.Check(err, qt.ErrorMatches, `note.toml:6: changes\[0\].from.version: version "1" is in force and cannot be withdrawn`)
	note, err := publisher.ParseNote("note.toml", file, configuration, inForce("2"), startTime)
	c.Check(err, qt.IsNil)
	c.Check(note.Deadline, qt.Equals, startTime.Add(time.Hour))
}
