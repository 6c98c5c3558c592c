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

// injection is one scheduled fault; the seed determines its targets.
type injection struct {
	fault    fault
	start    time.Duration
	duration time.Duration
	seed     uint64
}

// fault is a fault that is injected from outside the processes.
type fault struct {
	name string
	// disturbsHosts marks faults on hosts or their connections to the store, during which time bounds do not hold.
	disturbsHosts bool
	// inject causes the fault, waits for the duration and repairs it.
	inject func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration)
}

// addedLatency is the delay of each chunk of data on a slow connection.
const addedLatency = 120 * time.Millisecond

// stopFault is the fault that stops a host as planned, with its full grace.
const stopFault = "stop"

var faults = []fault{
	{"kill", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		h := s.randomHost(r)
		h.kill()
		sleep(ctx, duration/3)
		s.restart(h)
	}},
	{"kill-all", true, func(ctx context.Context, s *site, _ *rand.Rand, duration time.Duration) {
		for _, h := range s.hosts {
			h.kill()
		}
		sleep(ctx, duration/3)
		for _, h := range s.hosts {
			s.restart(h)
		}
	}},
	{stopFault, true, func(ctx context.Context, s *site, r *rand.Rand, _ time.Duration) {
		h := s.randomHost(r)
		h.stop(ctx)
		s.restart(h)
	}},
	{"pause", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		h := s.randomHost(r)
		h.signal(syscall.SIGSTOP)
		sleep(ctx, duration)
		h.signal(syscall.SIGCONT)
	}},
	{"reload", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.randomHost(r).signal(syscall.SIGHUP)
	}},
	{"store-refuses", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		s.store.SetFailureStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[r.IntN(2)])
		sleep(ctx, duration)
		s.store.SetFailureStatus(0)
	}},
	{"store-forgets", true, func(_ context.Context, s *site, _ *rand.Rand, _ time.Duration) {
		s.store.Trim(platform.OperatorsTopic)
		s.store.Trim(platform.EndpointsTopic)
	}},
	{"way-to-store-cut", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		s.refuseConnections(ctx, s.randomHost(r).store, duration)
	}},
	{"way-to-store-silent", true, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.randomHost(r).store.SilenceConnections()
	}},
	{"way-to-store-slow", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		slowDown(ctx, s.randomHost(r).store, duration)
	}},
	{"store-answers-lost", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		link := s.randomHost(r).store
		link.LoseAnswers(-1)
		sleep(ctx, duration)
		link.LoseAnswers(0)
	}},
	{"endpoint-cut", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		s.refuseConnections(ctx, s.troubledEndpoint(r).proxy, duration)
	}},
	{"endpoint-reset", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.troubledEndpoint(r).proxy.CloseConnections()
	}},
	{"endpoint-silent", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.troubledEndpoint(r).proxy.SilenceConnections()
	}},
	{"endpoint-slow", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		slowDown(ctx, s.troubledEndpoint(r).proxy, duration)
	}},
	{"endpoint-answers-lost", false, func(_ context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.troubledEndpoint(r).proxy.LoseAnswers(1 + r.IntN(10))
	}},
	{"endpoint-misbehaves", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
		e := s.troubledEndpoint(r)
		e.setBehaviour(1 + behaviour(r.IntN(int(behaviourCount)-1)))
		sleep(ctx, duration)
		e.setBehaviour(behaviourNormal)
	}},
	{"endpoint-leaves", false, func(ctx context.Context, s *site, r *rand.Rand, _ time.Duration) {
		s.replaceEndpoint(ctx, s.troubledEndpoint(r))
	}},
	{"key-taken-away", false, func(_ context.Context, s *site, _ *rand.Rand, _ time.Duration) {
		s.revokeKey()
	}},
}

// refuseConnections refuses connections on the link for the duration.
func (s *site) refuseConnections(ctx context.Context, link *proxy.Proxy, duration time.Duration) {
	link.Refuse()
	sleep(ctx, duration)
	s.addError(link.Accept())
}

// slowDown delays data on the link for the duration.
func slowDown(ctx context.Context, link *proxy.Proxy, duration time.Duration) {
	link.Delay(addedLatency)
	sleep(ctx, duration)
	link.Delay(0)
}

const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// schedule returns the injections of the seed, some of which overlap.
func schedule(seed uint64, count int, window time.Duration) []injection {
	r := rand.New(rand.NewPCG(seed, 0))
	injections := make([]injection, 0, count)
	for range count {
		injections = append(injections, injection{
			fault:    faults[r.IntN(len(faults))],
			start:    time.Duration(r.Int64N(int64(window))),
			duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			seed:     r.Uint64(),
		})
	}
	return injections
}

// maxRewriteDelay is the longest time until operators and endpoints write again what the store lost; the platform promises
// it of endpoints within two seconds.
const maxRewriteDelay = time.Second

// storeCopied makes the store return from a copy as old as the fault is long, after a short outage.
var storeCopied = fault{"store-copied", true, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	backup := s.store.Copy()
	sleep(ctx, duration)
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	sleep(ctx, minFaultDuration)
	s.store.Restore(backup)
	s.store.SetFailureStatus(0)
	sleep(ctx, time.Duration(r.Int64N(int64(maxRewriteDelay))))
	s.rewriteRecords()
}}

// The streams of random numbers of a seed: each kind of fault has its own, so that the others stay the same without it. Streams 0
// to 2 are those of the first faults and of endpoints.
const (
	copyNumbers uint64 = iota + 3
	strayNumbers
	upgradeNumbers
	unprovedNumbers
	silentNumbers
	heldNumbers
	refusalNumbers
)

// scheduleFault returns injections of one fault by the seed's stream of random numbers.
func scheduleFault(f fault, seed, stream uint64, count int, window time.Duration) []injection {
	r := rand.New(rand.NewPCG(seed, stream))
	injections := make([]injection, 0, count)
	for range count {
		injections = append(injections, injection{
			fault: f, start: time.Duration(r.Int64N(int64(window))),
			duration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))), seed: r.Uint64(),
		})
	}
	return injections
}

// strayAnswers makes an endpoint refuse some requests, or none, and write such or all answers once more on kept connections.
var strayAnswers = fault{"stray-answers", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	e := s.troubledEndpoint(r)
	kind := []proxy.Stray{proxy.StrayRefusals, proxy.UnnamedRefusals, proxy.StrayAnswers}[r.IntN(3)]
	if kind != proxy.StrayAnswers {
		e.setBehaviour(behaviourReject)
	}
	e.proxy.WriteStrays(kind)
	sleep(ctx, duration)
	e.proxy.WriteStrays(proxy.NoStray)
	e.setBehaviour(behaviourNormal)
}}

// unprovedRefusals makes an endpoint answer some requests that have run with statuses that promise the contrary.
var unprovedRefusals = fault{"unproved-refusals", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	e := s.troubledEndpoint(r)
	e.setBehaviour(behaviourUnproved)
	sleep(ctx, duration)
	e.setBehaviour(behaviourNormal)
}}

// silentStreams makes an endpoint fall silent in some streams that can be resumed; it works on them until their connections are closed.
// This excuses nothing: its host reaches it, and may go on at another endpoint.
var silentStreams = fault{"silent-streams", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	e := s.randomEndpoint(r)
	e.setBehaviour(behaviourSilent)
	sleep(ctx, duration)
	e.setBehaviour(behaviourNormal)
}}

// heldBytes holds up what is on the way to an endpoint and back, and delivers it later, as a machine that is frozen or a way that is
// congested does. Requests whose hosts have given them up arrive all the same.
var heldBytes = fault{"held-bytes", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	e := s.troubledEndpoint(r)
	e.proxy.Hold()
	sleep(ctx, duration)
	e.proxy.Release()
}}

// refusalCopies makes the endpoints of a service refuse most requests and, if the same request comes again on the same connection, write
// that refusal once more before they run it. This excuses no lost answer.
var refusalCopies = fault{"refusal-copies", false, func(ctx context.Context, s *site, r *rand.Rand, duration time.Duration) {
	endpoints := s.endpointsOf(s.randomEndpoint(r).Service)
	for _, e := range endpoints {
		e.setBehaviour(behaviourRepeatRefusal)
	}
	sleep(ctx, duration)
	for _, e := range endpoints {
		e.setBehaviour(behaviourNormal)
	}
}}
