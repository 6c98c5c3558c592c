package recorder_test

import (
	"fmt"
	"testing"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const fleetOrganisations = 18_000

// BenchmarkDelta folds one change into a configuration of the planned size, and reports the bytes on the log.
func BenchmarkDelta(b *testing.B) {
	var s recorder.ConfigurationState
	for i := range fleetOrganisations {
		s.Configuration.Organisations = append(s.Configuration.Organisations,
			dotterelpulley.OrganisationSettings{ID: dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Weight: 1 + i%9})
	}
	change := s.Configuration.Organisations[:1]
	size, whole := 0, 0
	for b.Loop() {
		env := recorder.Envelope{ID: "01234567-0123-0123-0123-0123456789ab", Base: s.Configuration.Revision, Body: recorder.Delta{Organisations: change}}
		data, err := recorder.Encode(env)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		back, err := recorder.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if v := s.Apply(recorder.Place{Offset: 5, Appended: at}, back); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
	data, err := recorder.Encode(recorder.Envelope{ID: "a", Body: recorder.ConfigurationSnapshot{State: s}})
	if err != nil {
		b.Fatal(err)
	}
	whole = len(data)
	b.ReportMetric(float64(size), "bytes/record")
	b.ReportMetric(float64(whole), "bytes/snapshot")
}

// BenchmarkRenewal reports the bytes of the record that keeps the mover's lease.
func BenchmarkRenewal(b *testing.B) {
	env := recorder.Envelope{ID: "01234567-0123-0123-0123-0123456789ab-1234", Body: recorder.Renewal{Fence: 123456}}
	size := 0
	for b.Loop() {
		data, err := recorder.Encode(env)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/record")
}
