package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	service = dotterelpulley.ServiceID("kaasik-lm")
	version = dotterelpulley.VersionID("kaasik-lm@1")
)

var (
	endpointSizes = []int{20, 200, 2200}
	prefixSizes   = []int{1000, 8000, 32000}
)

func newEndpoints(n int) []dotterelpulley.Endpoint {
	all := make([]dotterelpulley.Endpoint, 0, n)
	for i := range n {
		all = append(all, dotterelpulley.Endpoint{
			ID:         dotterelpulley.EndpointID(fmt.Sprintf("engine-%d", i)),
			Service:    service,
			Address:    dotterelpulley.Address(fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250)),
			Zone:       dotterelpulley.ZoneID(fmt.Sprintf("zone-%d", i%5)),
			Generation: dotterelpulley.Generation(fmt.Sprintf("g%d", i%5)),
			Versions:   []dotterelpulley.VersionID{version},
		})
	}
	return all
}

func reportLoads(p *picker.Picker, all []dotterelpulley.Endpoint, now time.Time) {
	for i, e := range all {
		p.Report(now, e.ID, picker.Report{Running: i % 4, MeasuredAt: now})
	}
}

func newPicker(all []dotterelpulley.Endpoint, now time.Time) *picker.Picker {
	p := &picker.Picker{Seed: 1, Zone: "zone-1"}
	p.SetHostCount(service, 8)
	p.SetEndpoints(service, all)
	reportLoads(p, all, now)
	return p
}

func BenchmarkPickerChoice(b *testing.B) {
	runSizes(b, "endpoints", endpointSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		all := newEndpoints(n)
		p, heap := measureHeap(func() *picker.Picker { return newPicker(all, now) })
		criteria := picker.Criteria{
			RouteKey:    picker.RouteKey{Service: service, Route: "cab-advisory"},
			Version:     version,
			PromptBytes: 2048,
			MaxTokens:   64,
		}
		b.ResetTimer()
		for b.Loop() {
			choice, verdict := p.Choose(now, criteria)
			if verdict != picker.Chosen {
				b.Fatalf("verdict %d", verdict)
			}
			p.Sent(now, choice)
			p.Ended(now, choice, picker.Result{Outcome: picker.RunCompleted, Tokens: 32})
		}
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(p)
	})
}

func BenchmarkPickerReports(b *testing.B) {
	runSizes(b, "endpoints", endpointSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		all := newEndpoints(n)
		p := newPicker(all, now)
		b.ResetTimer()
		for b.Loop() {
			now = now.Add(time.Second)
			reportLoads(p, all, now)
		}
	})
}

func BenchmarkPickerSubset(b *testing.B) {
	runSizes(b, "endpoints", endpointSizes, func(b *testing.B, n int) {
		all := newEndpoints(n)
		for b.Loop() {
			picker.Subset(all, picker.HostPosition{Rank: 3, Hosts: 350}, 64)
		}
	})
}

func BenchmarkPickerPrefixes(b *testing.B) {
	runSizes(b, "prefixes", prefixSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		all := newEndpoints(64)
		p := newPicker(all, now)
		_, heap := measureHeap(func() *picker.Picker {
			for i := range n {
				p.Cached(now, all[i%len(all)].ID, picker.PrefixHash(i+1))
			}
			return p
		})
		next := 0
		b.ResetTimer()
		for b.Loop() {
			next++
			p.Cached(now, all[next%len(all)].ID, picker.PrefixHash(next%n+1))
		}
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(p)
	})
}

func BenchmarkLimiter(b *testing.B) {
	runSizes(b, "endpoints", endpointSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		all := newEndpoints(n)
		sample := limiter.Sample{FirstToken: 200 * time.Millisecond, BetweenTokens: 20 * time.Millisecond, Inflight: 4}
		l, heap := measureHeap(func() *limiter.Limiter {
			l := &limiter.Limiter{}
			for _, e := range all {
				l.Observe(now, e.ID, sample)
			}
			return l
		})
		next := 0
		b.ResetTimer()
		for b.Loop() {
			next++
			l.Observe(now, all[next%n].ID, sample)
		}
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(l)
	})
}
