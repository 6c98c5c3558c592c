package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

var revisionSizes = []int{100, 400, 1600}

func newRecord(b *testing.B, offset int, base dotterelpulley.Revision, body recorder.Body) appender.Record {
	data, err := recorder.Encode(recorder.Envelope{
		ID:   recorder.RecordID(fmt.Sprintf("record-%d", offset)),
		Base: base,
		Body: body,
	})
	if err != nil {
		b.Fatal(err)
	}
	return appender.Record{Offset: appender.Offset(offset), Appended: time.Unix(1, 0), Data: data}
}

func weightDelta(first, count, weight int) recorder.Delta {
	var d recorder.Delta
	for i := first; i < first+count; i++ {
		d.Organisations = append(d.Organisations, dotterelpulley.OrganisationSettings{
			ID:     dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%d", i)),
			Weight: weight,
		})
	}
	return d
}

// apply applies the record and fails unless it is accepted.
func apply(b *testing.B, f *follower.Follower, r appender.Record) {
	for _, change := range f.Apply(appender.StreamConfiguration, r) {
		if !change.Verdict.Accepted {
			b.Fatalf("record %d: %s", r.Offset, change.Verdict.Reason)
		}
	}
}

// BenchmarkFollowerChange applies one change to a configuration with many organisations.
func BenchmarkFollowerChange(b *testing.B) {
	runSizes(b, "organisations", organisationSizes, func(b *testing.B, n int) {
		f := &follower.Follower{}
		full := newRecord(b, 1, 0, weightDelta(0, n, 1))
		_, heap := measureHeap(func() *follower.Follower {
			apply(b, f, full)
			return f
		})
		offset := 1
		changeBytes := 0
		b.ResetTimer()
		for b.Loop() {
			offset++
			b.StopTimer()
			change := newRecord(b, offset, f.Configuration().Revision, weightDelta(n-1, 1, offset%7+1))
			changeBytes = len(change.Data)
			b.StartTimer()
			apply(b, f, change)
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(len(full.Data)), "whole-record-B")
		b.ReportMetric(float64(changeBytes), "change-record-B")
		runtime.KeepAlive(f)
	})
}

// BenchmarkFollowerStart replays all revisions since the last snapshot, as a new host does.
func BenchmarkFollowerStart(b *testing.B) {
	runSizes(b, "revisions", revisionSizes, func(b *testing.B, n int) {
		var source follower.Follower
		records := []appender.Record{newRecord(b, 1, 0, weightDelta(0, 1000, 1))}
		apply(b, &source, records[0])
		for i := range n {
			r := newRecord(b, i+2, source.Configuration().Revision, weightDelta(i%1000, 1, i%7+1))
			apply(b, &source, r)
			records = append(records, r)
		}
		replay := func() *follower.Follower {
			f := &follower.Follower{}
			for _, r := range records {
				apply(b, f, r)
			}
			return f
		}
		f, heap := measureHeap(replay)
		b.ResetTimer()
		for b.Loop() {
			replay()
		}
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(f)
	})
}
