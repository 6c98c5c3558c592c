package assessor

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// BenchmarkAssess assesses evidence of several sizes and reports the bytes of one report.
func BenchmarkAssess(b *testing.B) {
	for _, routes := range []int{1, 5, 20} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			var e Evidence
			e.BeginExposure(Exposure{Old: "1", New: "2", Step: 1}, startedAt)
			for i := range 100_000 {
				s := Sample{Cell: Cell{
					Route:      dotterelpulley.RouteID(fmt.Sprint(i % routes)),
					Tier:       dotterelpulley.Tier(i % dotterelpulley.TierCount),
					Generation: dotterelpulley.Generation(fmt.Sprint(i / 7 % 5)),
					Load:       Band(i / 35 % bandCount),
				}}
				s.FirstToken = time.Duration(1+i%400) * time.Millisecond
				s.BetweenTokens = time.Duration(10+i%30) * time.Millisecond
				e.Add(dotterelpulley.VersionID(fmt.Sprint(1+i/3%2)), s, startedAt)
			}
			for b.Loop() {
				e.Refresh(startedAt)
				(Assessor{}).Assess(&e, startedAt)
			}
			data, err := Encode([]*Evidence{&e})
			if err != nil {
				b.Fatal(err)
			}
			var compressed bytes.Buffer
			w := gzip.NewWriter(&compressed)
			_, _ = w.Write(data)
			_ = w.Close()
			b.ReportMetric(float64(len(e.Cells)), "cells")
			b.ReportMetric(float64(compressed.Len()), "packed-bytes/report")
			b.ReportMetric(float64(len(data)), "bytes/report")
		})
	}
}
