package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// strike is one blow of a fault: when it begins, how long it lasts and the seed of what it picks.
type strike struct {
	fault fault
	at    time.Duration
	span  time.Duration
	seed  uint64
}

// fault is something that goes wrong, from outside of the processes.
type fault struct {
	name string
	// onHosts tells that it strikes hosts or their ways to the store, so that bounds on time don't hold meanwhile.
	onHosts bool
	// run strikes, waits for the span and heals.
	run func(ctx context.Context, s *site, r *rand.Rand, span time.Duration)
}

// delayed is how long a slow way holds back every piece of data.
const delayed = 120 * time.Millisecond

var faults = []fault{
	{"kill", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		h := s.anyHost(r)
		h.kill()
		wait(ctx, span/3)
		s.restart(h)
	}},
	{"kill-all", true, func(ctx context.Context, s *site, _ *rand.Rand, span time.Duration) {
		for _, h := range s.hosts {
			h.kill()
		}
		wait(ctx, span/3)
		for _, h := range s.hosts {
			s.restart(h)
		}
	}},
	{"stop", true, func(ctx context.Context, s *site, r *rand.Rand, _ time.Duration) {
		h := s.anyHost(r)
		h.stop(ctx)
		s.restart(h)
	}},
	{"pause", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		h := s.anyHost(r)
		h.signal(syscall.SIGSTOP)
		wait(ctx, span)
		h.signal(syscall.SIGCONT)
	}},
	{"reload", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.anyHost(r).signal(syscall.SIGHUP)
	}},
	{"store-refuses", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		s.store.SetFailureStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[r.IntN(2)])
		wait(ctx, span)
		s.store.SetFailureStatus(0)
	}},
	{"store-forgets", true, func(_ context.Context, s *site, _ *rand.Rand, _ time.Duration) {
		s.store.Trim(platform.OperatorsTopic)
		s.store.Trim(platform.EndpointsTopic)
	}},
	{"way-to-store-cut", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		s.cut(ctx, s.anyHost(r).store, span)
	}},
	{"way-to-store-silent", true, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.anyHost(r).store.Silence()
	}},
	{"way-to-store-slow", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		slow(ctx, s.anyHost(r).store, span)
	}},
	{"store-answers-lost", true, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		way := s.anyHost(r).store
		way.LoseAnswers(-1)
		wait(ctx, span)
		way.LoseAnswers(0)
	}},
	{"endpoint-cut", false, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		s.cut(ctx, s.anyEndpoint(r).proxy, span)
	}},
	{"endpoint-reset", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.anyEndpoint(r).proxy.Cut()
	}},
	{"endpoint-silent", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.anyEndpoint(r).proxy.Silence()
	}},
	{"endpoint-slow", false, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		slow(ctx, s.anyEndpoint(r).proxy, span)
	}},
	{"endpoint-answers-lost", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.anyEndpoint(r).proxy.LoseAnswers(1 + r.IntN(10))
	}},
	{"endpoint-misbehaves", false, func(ctx context.Context, s *site, r *rand.Rand, span time.Duration) {
		e := s.anyEndpoint(r)
		e.turn(1 + manner(r.IntN(int(manners)-1)))
		wait(ctx, span)
		e.turn(mannerWell)
	}},
	{"endpoint-leaves", false, func(ctx context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.replace(ctx, s.anyEndpoint(r))
	}},
	{"key-taken-away", false, func(_ context.Context, s *site, _ *rand.Rand, _ time.Duration) {
		s.revoke()
	}},
}

// cut refuses connections on the way for the span.
func (s *site) cut(ctx context.Context, way *proxy.Proxy, span time.Duration) {
	way.Refuse()
	wait(ctx, span)
	s.healed(way.Accept())
}

// slow holds back what goes over the way for the span.
func slow(ctx context.Context, way *proxy.Proxy, span time.Duration) {
	way.Delay(delayed)
	wait(ctx, span)
	way.Delay(0)
}

const (
	leastSpan = 300 * time.Millisecond
	mostSpan  = 4 * time.Second
)

// seeded returns the seed's series of strikes, some of which overlap.
func seeded(seed uint64, count int, over time.Duration) []strike {
	r := rand.New(rand.NewPCG(seed, 0))
	strikes := make([]strike, 0, count)
	for range count {
		strikes = append(strikes, strike{
			fault: faults[r.IntN(len(faults))],
			at:    time.Duration(r.Int64N(int64(over))),
			span:  leastSpan + time.Duration(r.Int64N(int64(mostSpan-leastSpan))),
			seed:  r.Uint64(),
		})
	}
	return strikes
}
