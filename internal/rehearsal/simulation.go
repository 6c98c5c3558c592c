package rehearsal

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

// Result is how one rehearsed move went.
type Result struct {
	Case Case
	// Done and Undone tell what the log says; neither is a fault.
	Done   bool
	Undone bool
	Reason string
	// Agreed tells whether every live host sends all requests to the side that the log says.
	Agreed bool
	// Took is how long the move took.
	Took     time.Duration
	Requests int
	// Fresh counts the requests that the new version got while it was not done.
	Fresh int
	// Harmed counts the requests that the version's fault harmed.
	Harmed int
	// CanaryFresh and CanaryRequests are those of the canary step.
	CanaryFresh    int
	CanaryRequests int
	// ToStop is the time from the first harmed request to the last request of the new version.
	ToStop time.Duration
	// StaleOrders counts orders with an old fence that an endpoint took.
	StaleOrders int
}

// world is one rehearsal.
type world struct {
	c       Case
	simple  bool
	random  *rand.Rand
	script  script
	store   store
	hosts   []*host
	movers  []*controller
	engines []*engine
	began   time.Time
	// exposedAt is when the new version got its first request.
	exposedAt   time.Time
	firstHarm   time.Time
	lastFresh   time.Time
	result      Result
	incarnation int
	// restarts holds when a naive mover is started again.
	restarts []time.Time
}

// LeastTime is the least time of the rehearsed move, loading and all.
func LeastTime() time.Duration {
	return mover.MinDuration(canaryShare, watch) + 2*loadTime
}

// Run rehearses the case with the real mover, or the naive one, and twice the least time.
func Run(c Case, simple bool) Result {
	random := rand.New(rand.NewPCG(c.Seed, 17))
	w := &world{c: c, simple: simple, random: random, began: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	length := 2 * LeastTime()
	w.script = c.script(random, length)
	w.store = store{random: random, lossy: c.Trouble != Calm}
	w.engines = newEngines()
	w.configure()
	for range hosts {
		w.hosts = append(w.hosts, &host{judge: !simple})
	}
	for range w.moverCount() {
		w.startMover()
	}
	for at := -leadIn; at < length+5*time.Second; at += tick {
		if at == 0 {
			w.note(w.began.Add(length))
		}
		w.step(at)
	}
	return w.finish(length)
}

func (w *world) moverCount() int {
	if w.simple {
		return 1
	}
	return movers
}

func (w *world) startMover() {
	w.incarnation++
	w.movers = append(w.movers, newController(fmt.Sprintf("m%d", w.incarnation), w.simple))
}

func (w *world) configure() {
	w.publish(recorder.Delta{Services: []dotterelpulley.ServiceSettings{{ID: service, Build: build("1")}}}, w.began.Add(-leadIn))
}

func (w *world) note(deadline time.Time) {
	w.publish(recorder.Note{Note: dotterelpulley.ReleaseNote{
		ID: "n", Deadline: deadline, CanaryShare: canaryShare, Watch: watch,
		Changes: []dotterelpulley.Change{{
			Action: dotterelpulley.ChangeReplace, Service: service, From: build("1"), To: build("2"),
		}},
	}}, w.began)
}

func build(version dotterelpulley.VersionID) dotterelpulley.Build {
	return dotterelpulley.Build{Version: version, Model: "m"}
}

// publish appends an operator's record, log outage or not.
func (w *world) publish(body recorder.Body, now time.Time) {
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(fmt.Sprintf("operator-%T", body)), Base: 0, Body: body})
	if err != nil {
		panic(fmt.Sprintf("encode a constant record: %v", err))
	}
	s := store{streams: w.store.streams}
	_ = s.append(appender.StreamConfiguration, data, now)
	w.store.streams = s.streams
}

func (w *world) step(at time.Duration) {
	now := w.began.Add(at)
	w.store.out = holds(w.script.outages, at)
	w.trouble(at, now)
	for _, e := range w.engines {
		e.settle(now)
	}
	for i, h := range w.hosts {
		h.read(&w.store)
		if at%(500*time.Millisecond) == 0 {
			h.learn(w.hosts[(i+1+w.random.IntN(hosts-1))%hosts])
		}
		if at%time.Second == 0 {
			h.assess(now)
		}
	}
	w.traffic(at, now)
	for _, m := range w.movers {
		if m.paused {
			continue
		}
		m.read(&w.store, now)
		m.poll(w, now)
		m.act(w, now)
	}
}

// trouble kills, replaces and pauses; the mover that leads is the one that is hit.
func (w *world) trouble(at time.Duration, now time.Time) {
	for _, death := range w.script.hostDeaths {
		if at <= death && death < at+tick {
			w.hosts[w.random.IntN(hosts)] = &host{judge: !w.simple}
		}
	}
	for _, death := range w.script.moverDeaths {
		if at <= death && death < at+tick {
			w.killLeader(now)
		}
	}
	w.restarts = slices.DeleteFunc(w.restarts, func(due time.Time) bool {
		if now.Before(due) {
			return false
		}
		w.startMover()
		return true
	})
	for _, pause := range w.script.moverPauses {
		if at <= pause.from && pause.from < at+tick {
			if m := w.leader(); m != nil {
				m.pausing = true
			}
		}
		if at <= pause.to && pause.to < at+tick {
			for _, m := range w.movers {
				m.paused, m.pausing = false, false
			}
		}
	}
}

// restartDelay is how long it takes to replace a mover's host.
const restartDelay = 10 * time.Second

func (w *world) killLeader(now time.Time) {
	leader := w.leader()
	if leader == nil {
		return
	}
	w.movers = slices.DeleteFunc(w.movers, func(m *controller) bool { return m == leader })
	w.restarts = append(w.restarts, now.Add(restartDelay))
}

func (w *world) leader() *controller {
	for _, m := range w.movers {
		if m.decider.Leading(m.view()) {
			return m
		}
	}
	return nil
}

// send delivers an order if the mover still may.
func (w *world) send(c *controller, o mover.Order, now time.Time) {
	if !c.decider.MaySend(o, now) {
		return
	}
	for _, e := range w.engines {
		if e.ID == o.Endpoint {
			c.decider.OrderAnswered(o, now, e.order(o, now))
		}
	}
}

func (w *world) traffic(at time.Duration, now time.Time) {
	for range int(requestRate * tick / time.Second) {
		h := w.hosts[w.random.IntN(hosts)]
		version := h.choose(now)
		moving := h.expose(now)
		e := w.engineWith(version)
		if e == nil {
			continue
		}
		rt := pick(w.random)
		fresh := version == newest
		s, harmed := w.outcome(e, rt, fresh, at)
		h.evidence.Add(version, s, now)
		if moving {
			w.count(h, fresh, harmed, now)
		}
	}
}

func (w *world) engineWith(version dotterelpulley.VersionID) *engine {
	start := w.random.IntN(len(w.engines))
	for i := range w.engines {
		e := w.engines[(start+i)%len(w.engines)]
		if slices.Contains(e.Loaded, version) {
			return e
		}
	}
	return nil
}

func (w *world) count(h *host, fresh, harmed bool, now time.Time) {
	w.result.Requests++
	m, _ := h.follower.Running(service)
	if m.Number == 1 {
		w.result.CanaryRequests++
	}
	if !fresh {
		return
	}
	if m.Number == 1 {
		w.result.CanaryFresh++
	}
	if w.exposedAt.IsZero() {
		w.exposedAt = now
	}
	w.result.Fresh++
	w.lastFresh = now
	if !harmed {
		return
	}
	w.result.Harmed++
	if w.firstHarm.IsZero() {
		w.firstHarm = now
	}
}

func (w *world) finish(length time.Duration) Result {
	r := w.result
	r.Case = w.c
	w.store.out = false
	end := w.began.Add(length + 5*time.Second)
	var log host
	log.read(&w.store)
	state := log.follower.MovesState()
	m, _ := state.Move(recorder.MoveID{Note: "n", Service: service})
	r.Done, r.Undone = m.Phase == recorder.PhaseDone, m.Phase == recorder.PhaseUndone && m.Ended > 0
	r.Reason = m.Reason
	if !m.Running() {
		r.Took = m.Since.Sub(w.began)
	}
	want := oldest
	if r.Done {
		want = newest
	}
	r.Agreed = true
	for _, h := range w.hosts {
		h.read(&w.store)
		shares := h.follower.Shares(service, end)
		r.Agreed = r.Agreed && len(shares) == 1 && shares[0].Version == want
	}
	if !w.firstHarm.IsZero() {
		r.ToStop = w.lastFresh.Sub(w.firstHarm)
	}
	for _, e := range w.engines {
		r.StaleOrders += e.staleTaken
	}
	return r
}
