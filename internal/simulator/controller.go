package simulator

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// decider is the real or the naive mover.
type decider interface {
	Tick(now time.Time, view *mover.View) []mover.Action
	Observe(v recorder.Verdict)
	AppendAnswered(id recorder.RecordID, now time.Time, err error)
	OrderAnswered(o mover.Order, now time.Time, err error)
	MaySend(o mover.Order, now time.Time) bool
	Leading(view *mover.View) bool
}

// controller is one simulated mover process.
type controller struct {
	decider  decider
	follower follower.Follower
	caughtUp time.Time
	// pausePending makes the next tick pause the process between the decision and the sending.
	pausePending bool
	paused       bool
	// deferred holds the actions decided before a pause, which are executed after it.
	deferred    []mover.Action
	endpoints   []mover.Endpoint
	assessments map[recorder.MoveID]mover.Assessment
	lastPoll    time.Time
}

func (c *controller) read(l *recordLog, now time.Time) {
	for _, stream := range streams() {
		page, err := l.read(stream, c.follower.NextOffset(stream))
		if err != nil {
			return
		}
		for _, change := range c.follower.ApplyPage(stream, page) {
			c.decider.Observe(change.Verdict)
		}
	}
	c.caughtUp = now
}

func (c *controller) view() *mover.View {
	return &mover.View{
		Configuration: c.follower.ConfigurationState(),
		Moves:         c.follower.MovesState(),
		CaughtUp:      c.caughtUp,
		Endpoints:     c.endpoints,
		Assessments:   c.assessments,
		BadVersions:   c.follower.ReportedBadVersions(),
	}
}

// poll reads the endpoints and the hosts' evidence once a second.
func (c *controller) poll(sim *simulation, now time.Time) {
	if now.Sub(c.lastPoll) < time.Second {
		return
	}
	c.lastPoll = now
	c.endpoints = nil
	for _, e := range sim.engines {
		c.endpoints = append(c.endpoints, e.Endpoint)
	}
	m, running := c.follower.Running(service)
	c.assessments = map[recorder.MoveID]mover.Assessment{}
	for _, h := range sim.hosts {
		for _, bad := range h.follower.ReportedBadVersions() {
			c.follower.AddBadVersion(bad)
		}
	}
	if !running || m.Number == 0 {
		return
	}
	exposure := assessor.Exposure{Note: m.ID.Note, Service: service, Step: m.Number, Old: oldVersion, New: newVersion}
	total := assessor.Evidence{Exposure: exposure}
	for _, h := range sim.hosts {
		if h.evidence.Exposure == exposure {
			h.evidence.Refresh(now)
			total.Merge(&h.evidence)
		}
	}
	if n, isNaive := c.decider.(*naiveMover); isNaive {
		a := (assessor.Assessor{}).Assess(&total, now)
		n.requests, n.errorRate = a.Requests, float64(a.Failures)/float64(max(1, a.Requests))
		return
	}
	if len(total.Cells) == 0 {
		return
	}
	a := (assessor.Assessor{}).Assess(&total, now)
	c.assessments[m.ID] = mover.Assessment{Step: m.Number, Requests: a.Requests, Bad: a.Bad, EnoughEvidence: a.EnoughEvidence, Reason: a.Reason}
}

func (c *controller) act(sim *simulation, now time.Time) {
	c.execute(sim, c.deferred, now)
	c.deferred = nil
	actions := c.decider.Tick(now, c.view())
	if c.pausePending {
		c.deferred, c.pausePending, c.paused = actions, false, true
		return
	}
	c.execute(sim, actions, now)
}

func (c *controller) execute(sim *simulation, actions []mover.Action, now time.Time) {
	for _, action := range actions {
		switch a := action.(type) {
		case mover.Append:
			data, err := recorder.Encode(a.Envelope)
			if err == nil {
				err = sim.log.append(a.Stream, data, now)
			}
			c.decider.AppendAnswered(a.Envelope.ID, now, err)
		case mover.Order:
			sim.send(c, a, now)
		case mover.BroadcastBadVersion:
			c.follower.AddBadVersion(a.Bad)
			for _, h := range sim.hosts {
				h.follower.AddBadVersion(a.Bad)
			}
		}
	}
}

func newController(name string, useNaive bool) *controller {
	if useNaive {
		return &controller{decider: &naiveMover{name: name}}
	}
	return &controller{decider: &mover.Mover{
		Settings: mover.Settings{
			Host: "h", Lease: mover.DefaultLease, OrderTimeout: mover.DefaultOrderTimeout,
			LoadsAtOnce: mover.DefaultLoadsAtOnce, Retention: mover.DefaultRetention,
		},
		IDPrefix: name,
	}}
}
