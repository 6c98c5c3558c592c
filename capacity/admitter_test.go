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

func newRequest(i, organisations int, now time.Time) admitter.Request {
	return admitter.Request{
		ID:           admitter.ID(fmt.Sprintf("request-%d", i)),
		Organisation: dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%d", i%organisations)),
		Tier:         dotterelpulley.Tier(i % dotterelpulley.TierCount),
		Service:      service,
		Cost:         64,
		Deadline:     now.Add(time.Hour),
	}
}

// newAdmitter returns an admitter in which count requests wait.
func newAdmitter(count, organisations int, now time.Time) *admitter.Admitter {
	a := &admitter.Admitter{Seed: 1}
	a.SetCapacity(service, 64)
	for i := range count {
		a.Offer(now, newRequest(i, organisations, now))
	}
	return a
}

func alwaysFits(admitter.Request) bool { return true }

// benchmarkAdmission repeatedly offers a request, starts the next request and finishes it.
func benchmarkAdmission(b *testing.B, a *admitter.Admitter, organisations int, now time.Time) {
	lastID := 1 << 20
	b.ResetTimer()
	for b.Loop() {
		lastID++
		a.Offer(now, newRequest(lastID, organisations, now))
		request, ok := a.Next(now, service, alwaysFits)
		if !ok {
			b.Fatal("no request can start")
		}
		a.Finished(now, request.ID, request.Cost, admitter.OutcomeCompleted)
	}
}

func BenchmarkAdmitterOrganisations(b *testing.B) {
	runSizes(b, "organisations", organisationSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		a, heap := measureHeap(func() *admitter.Admitter {
			a := newAdmitter(1, n, now)
			for i := range n {
				request := newRequest(i, n, now)
				request.ID = admitter.ID(fmt.Sprintf("seen-%d", i))
				a.Offer(now, request)
				a.Remove(request.ID)
			}
			return a
		})
		benchmarkAdmission(b, a, n, now)
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(a)
	})
}

func BenchmarkAdmitterWaiting(b *testing.B) {
	runSizes(b, "waiting", waitingSizes, func(b *testing.B, n int) {
		now := time.Unix(1, 0)
		a, heap := measureHeap(func() *admitter.Admitter { return newAdmitter(n, 1000, now) })
		benchmarkAdmission(b, a, 1000, now)
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(a)
	})
}
