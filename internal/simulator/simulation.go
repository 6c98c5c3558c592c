package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Result is the result of one simulated move.
type Result struct {
	Case Case
	// Done and Undone are the outcome in the log; a move with neither is a fault.
	Done   bool
	Undone bool
	Reason string
	// Converged reports whether every live host sends all requests to the version that the log selects.
	Converged bool
	// Duration is how long the move took.
	Duration time.Duration
	Requests int
	// NewVersionRequests counts the requests served by the new version during the move.
	NewVersionRequests int
	// Harmed counts the requests harmed by the version's fault.
	Harmed int
	// CanaryNewVersionRequests and CanaryRequests count the requests of the canary step.
	CanaryNewVersionRequests int
	CanaryRequests           int
	// TimeToStop is the time from the first harmed request to the last request served by the new version.
	TimeToStop time.Duration
	// StaleOrders counts orders with an outdated fence that an endpoint accepted.
	StaleOrders int
}

// simulation is one simulated move.
type simulation struct {
	testCase  Case
	useNaive  bool
	random    *rand.Rand
	schedule  schedule
	log       recordLog
	hosts     []*host
	movers    []*controller
	engines   []*engine
	startTime time.Time
	// exposedAt is when the new version got its first request.
	exposedAt        time.Time
	firstHarmAt      time.Time
	lastNewVersionAt time.Time
	result           Result
	startedMovers    int
	// restarts holds the times at which killed movers are replaced.
	restarts []time.Time
}

// MinDuration is the minimum duration of the simulated move, including loading.
func MinDuration() time.Duration {
	return mover.MinDuration(canaryShare, observationTime) + 2*loadTime
}

// Run simulates the case with the real or the naive mover; the move gets twice the minimum duration.
func Run(c Case, useNaive bool) Result {
	random := rand.New(rand.NewPCG(c.Seed, 17))
	sim := &simulation{testCase: c, useNaive: useNaive, random: random, startTime: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	duration := 2 * MinDuration()
	sim.schedule = c.schedule(random, duration)
	sim.log = recordLog{random: random, losesAnswers: c.Disruption != NoDisruption}
	sim.engines = newEngines()
	sim.publishConfiguration()
	for range hosts {
		sim.hosts = append(sim.hosts, &host{assesses: !useNaive})
	}
	for range sim.moverCount() {
		sim.startMover()
	}
	for at := -warmUp; at < duration+5*time.Second; at += tickInterval {
		if at == 0 {
			sim.publishNote(sim.startTime.Add(duration))
		}
		sim.step(at)
	}
	return sim.finish(duration)
}

func (sim *simulation) moverCount() int {
	if sim.useNaive {
		return 1
	}
	return movers
}

func (sim *simulation) startMover() {
	sim.startedMovers++
	sim.movers = append(sim.movers, newController(fmt.Sprintf("m%d", sim.startedMovers), sim.useNaive))
}

func (sim *simulation) publishConfiguration() {
	sim.publish(recorder.Delta{Services: []dotterelpulley.ServiceSettings{{ID: service, InitialBuild: build("1")}}}, sim.startTime.Add(-warmUp))
}

func (sim *simulation) publishNote(deadline time.Time) {
	sim.publish(recorder.Note{Note: dotterelpulley.ReleaseNote{
		ID: "n", Deadline: deadline, CanaryShare: canaryShare, ObservationTime: observationTime,
		Changes: []dotterelpulley.Change{{
			Action: dotterelpulley.ChangeReplace, Service: service, From: build("1"), To: build("2"),
		}},
	}}, sim.startTime)
}

func build(version dotterelpulley.VersionID) dotterelpulley.Build {
	return dotterelpulley.Build{Version: version, Model: "m"}
}

// publish appends an operator's record, even during a log outage.
func (sim *simulation) publish(body recorder.Body, now time.Time) {
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(fmt.Sprintf("operator-%T", body)), Base: 0, Body: body})
	if err != nil {
		panic(fmt.Sprintf("encode a constant record: %v", err))
	}
	available := recordLog{streams: sim.log.streams}
	_ = available.append(appender.StreamConfiguration, data, now)
	sim.log.streams = available.streams
}

func (sim *simulation) step(at time.Duration) {
	now := sim.startTime.Add(at)
	sim.log.unavailable = anyContains(sim.schedule.outages, at)
	sim.disrupt(at, now)
	for _, e := range sim.engines {
		e.finishLoading(now)
	}
	for i, h := range sim.hosts {
		h.read(&sim.log)
		if at%(500*time.Millisecond) == 0 {
			h.syncFrom(sim.hosts[(i+1+sim.random.IntN(hosts-1))%hosts])
		}
		if at%time.Second == 0 {
			h.assess(now)
		}
	}
	sim.sendTraffic(at, now)
	for _, m := range sim.movers {
		if m.paused {
			continue
		}
		m.read(&sim.log, now)
		m.poll(sim, now)
		m.act(sim, now)
	}
}

// disrupt applies the disruptions that are due; crashes and pauses of movers hit the leader.
func (sim *simulation) disrupt(at time.Duration, now time.Time) {
	for _, crash := range sim.schedule.hostCrashes {
		if at <= crash && crash < at+tickInterval {
			sim.hosts[sim.random.IntN(hosts)] = &host{assesses: !sim.useNaive}
		}
	}
	for _, crash := range sim.schedule.moverCrashes {
		if at <= crash && crash < at+tickInterval {
			sim.killLeader(now)
		}
	}
	sim.restarts = slices.DeleteFunc(sim.restarts, func(due time.Time) bool {
		if now.Before(due) {
			return false
		}
		sim.startMover()
		return true
	})
	for _, pause := range sim.schedule.moverPauses {
		if at <= pause.from && pause.from < at+tickInterval {
			if m := sim.leader(); m != nil {
				m.pausePending = true
			}
		}
		if at <= pause.to && pause.to < at+tickInterval {
			for _, m := range sim.movers {
				m.paused, m.pausePending = false, false
			}
		}
	}
}

// restartDelay is the time to replace the host of a killed mover.
const restartDelay = 10 * time.Second

func (sim *simulation) killLeader(now time.Time) {
	leader := sim.leader()
	if leader == nil {
		return
	}
	sim.movers = slices.DeleteFunc(sim.movers, func(m *controller) bool { return m == leader })
	sim.restarts = append(sim.restarts, now.Add(restartDelay))
}

func (sim *simulation) leader() *controller {
	for _, m := range sim.movers {
		if m.decider.Leading(m.view()) {
			return m
		}
	}
	return nil
}

// send delivers the order if the mover may still send it.
func (sim *simulation) send(c *controller, o mover.Order, now time.Time) {
	if !c.decider.MaySend(o, now) {
		return
	}
	for _, e := range sim.engines {
		if e.ID == o.Endpoint {
			c.decider.OrderAnswered(o, now, e.applyOrder(o, now))
		}
	}
}

func (sim *simulation) sendTraffic(at time.Duration, now time.Time) {
	for range int(requestRate * tickInterval / time.Second) {
		h := sim.hosts[sim.random.IntN(hosts)]
		version := h.chooseVersion(now)
		moveRunning := h.beginExposure(now)
		e := sim.engineLoaded(version)
		if e == nil {
			continue
		}
		route := randomRoute(sim.random)
		onNewVersion := version == newVersion
		s, harmed := sim.outcome(e, route, onNewVersion, at)
		h.evidence.Add(version, s, now)
		if moveRunning {
			sim.countRequest(h, onNewVersion, harmed, now)
		}
	}
}

func (sim *simulation) engineLoaded(version dotterelpulley.VersionID) *engine {
	start := sim.random.IntN(len(sim.engines))
	for i := range sim.engines {
		e := sim.engines[(start+i)%len(sim.engines)]
		if slices.Contains(e.Loaded, version) {
			return e
		}
	}
	return nil
}

func (sim *simulation) countRequest(h *host, onNewVersion, harmed bool, now time.Time) {
	sim.result.Requests++
	m, _ := h.follower.Running(service)
	if m.Number == 1 {
		sim.result.CanaryRequests++
	}
	if !onNewVersion {
		return
	}
	if m.Number == 1 {
		sim.result.CanaryNewVersionRequests++
	}
	if sim.exposedAt.IsZero() {
		sim.exposedAt = now
	}
	sim.result.NewVersionRequests++
	sim.lastNewVersionAt = now
	if !harmed {
		return
	}
	sim.result.Harmed++
	if sim.firstHarmAt.IsZero() {
		sim.firstHarmAt = now
	}
}

func (sim *simulation) finish(duration time.Duration) Result {
	r := sim.result
	r.Case = sim.testCase
	sim.log.unavailable = false
	end := sim.startTime.Add(duration + 5*time.Second)
	var reader host
	reader.read(&sim.log)
	state := reader.follower.MovesState()
	m, _ := state.Move(recorder.MoveID{Note: "n", Service: service})
	r.Done, r.Undone = m.Phase == recorder.PhaseDone, m.Phase == recorder.PhaseUndone && m.Ended > 0
	r.Reason = m.Reason
	if !m.Running() {
		r.Duration = m.Since.Sub(sim.startTime)
	}
	want := oldVersion
	if r.Done {
		want = newVersion
	}
	r.Converged = true
	for _, h := range sim.hosts {
		h.read(&sim.log)
		shares := h.follower.Shares(service, end)
		r.Converged = r.Converged && len(shares) == 1 && shares[0].Version == want
	}
	if !sim.firstHarmAt.IsZero() {
		r.TimeToStop = sim.lastNewVersionAt.Sub(sim.firstHarmAt)
	}
	for _, e := range sim.engines {
		r.StaleOrders += e.staleOrdersAccepted
	}
	return r
}
