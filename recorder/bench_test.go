package recorder_test

import (
	"fmt"
	"testing"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const organisationCount = 18_000

// BenchmarkDelta applies one change to a configuration of the planned size and reports the encoded sizes of the record and of a snapshot.
func BenchmarkDelta(b *testing.B) {
	var s recorder.ConfigurationState
	for i := range organisationCount {
		s.Configuration.Organisations = append(s.Configuration.Organisations,
			dotterelpulley.OrganisationSettings{ID: dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%05d", i)), Weight: 1 + i%9})
	}
	change := s.Configuration.Organisations[:1]
	recordSize, snapshotSize := 0, 0
	for b.Loop() {
		env := recorder.Envelope{ID: "01234567-0123-0123-0123-0123456789ab", Base: s.Configuration.Revision, Body: recorder.Delta{Organisations: change}}
		data, err := recorder.Encode(env)
		if err != nil {
			b.Fatal(err)
		}
		recordSize = len(data)
		decoded, err := recorder.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if v := s.Apply(recorder.Position{Offset: 5, Appended: baseTime}, decoded); !v.Accepted {
			b.Fatal(v.Reason)
		}
	}
	data, err := recorder.Encode(recorder.Envelope{ID: "a", Body: recorder.ConfigurationSnapshot{State: s}})
	if err != nil {
		b.Fatal(err)
	}
	snapshotSize = len(data)
	b.ReportMetric(float64(recordSize), "bytes/record")
	b.ReportMetric(float64(snapshotSize), "bytes/snapshot")
}

// BenchmarkRenewal reports the encoded size of the record that renews the mover's lease.
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
