package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/admitter"
)

var (
	organisationSizes = []int{5, 1000, 18000}
	waitingSizes      = []int{64, 512, 4000}
)

func waiting(i, organisations int, now time.Time) admitter.Request {
	return admitter.Request{
		ID:           admitter.ID(fmt.Sprintf("request-%d", i)),
		Organisation: dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%d", i%organisations)),
		Tier:         dotterelpulley.Tier(i % dotterelpulley.TierCount),
		Service:      service,
		Cost:         64,
		Deadline:     now.Add(time.Hour),
	}
}

// filled returns an admitter where that many requests wait.
func filled(count, organisations int, now time.Time) *admitter.Admitter {
	a := &admitter.Admitter{Seed: 1}
	a.SetCapacity(service, 64)
	for i := range count {
		a.Offer(now, waiting(i, organisations, now))
	}
	return a
}

func anyFits(admitter.Request) bool { return true }

// turns offers a request, starts the first in turn and ends it, over and over.
func turns(b *testing.B, a *admitter.Admitter, organisations int, now time.Time) {
	next := 1 << 20
	b.ResetTimer()
	for b.Loop() {
		next++
		a.Offer(now, waiting(next, organisations, now))
		w, ok := a.Next(now, service, anyFits)
		if !ok {
			b.Fatal("nothing runs")
		}
		a.Finished(now, w.ID, w.Cost, admitter.OutcomeCompleted)
	}
}

func BenchmarkAdmitterOrganisations(b *testing.B) {
	atSizes(b, "organisations", organisationSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		a, heap := heapOf(func() *admitter.Admitter {
			a := filled(1, n, now)
			for i := range n {
				w := waiting(i, n, now)
				w.ID = admitter.ID(fmt.Sprintf("seen-%d", i))
				a.Offer(now, w)
				a.Remove(w.ID)
			}
			return a
		})
		turns(b, a, n, now)
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(a)
	})
}

func BenchmarkAdmitterWaiting(b *testing.B) {
	atSizes(b, "waiting", waitingSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		a, heap := heapOf(func() *admitter.Admitter { return filled(n, 1000, now) })
		turns(b, a, 1000, now)
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(a)
	})
}
