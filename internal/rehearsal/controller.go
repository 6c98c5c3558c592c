package rehearsal

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// decider is a mover, real or naive.
type decider interface {
	Tick(now time.Time, view *mover.View) []mover.Action
	Observe(v recorder.Verdict)
	AppendAnswered(id recorder.RecordID, now time.Time, err error)
	OrderAnswered(o mover.Order, now time.Time, err error)
	MaySend(o mover.Order, now time.Time) bool
	Leading(view *mover.View) bool
}

// controller is one modelled mover process.
type controller struct {
	decider  decider
	follower follower.Follower
	caughtUp time.Time
	// pausing is set in the tick in which a pause comes between decision and sending.
	pausing bool
	paused  bool
	// late holds what was decided before the pause and is carried out after it.
	late        []mover.Action
	endpoints   []mover.Endpoint
	assessments map[recorder.MoveID]mover.Assessment
	polled      time.Time
}

func (c *controller) read(s *store, now time.Time) {
	for _, stream := range streams() {
		page, err := s.read(stream, c.follower.NextOffset(stream))
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
func (c *controller) poll(w *world, now time.Time) {
	if now.Sub(c.polled) < time.Second {
		return
	}
	c.polled = now
	c.endpoints = nil
	for _, e := range w.engines {
		c.endpoints = append(c.endpoints, e.Endpoint)
	}
	m, running := c.follower.Running(service)
	c.assessments = map[recorder.MoveID]mover.Assessment{}
	for _, h := range w.hosts {
		for _, bad := range h.follower.ReportedBadVersions() {
			c.follower.AddBadVersion(bad)
		}
	}
	if !running || m.Number == 0 {
		return
	}
	exposure := assessor.Exposure{Note: m.ID.Note, Service: service, Step: m.Number, Old: oldest, New: newest}
	total := assessor.Evidence{Exposure: exposure}
	for _, h := range w.hosts {
		if h.evidence.Exposure == exposure {
			h.evidence.Refresh(now)
			total.Merge(&h.evidence)
		}
	}
	if n, simple := c.decider.(*naive); simple {
		a := (assessor.Assessor{}).Assess(&total, now)
		n.seen, n.rate = a.Requests, float64(a.Failures)/float64(max(1, a.Requests))
		return
	}
	if len(total.Cells) == 0 {
		return
	}
	a := (assessor.Assessor{}).Assess(&total, now)
	c.assessments[m.ID] = mover.Assessment{Step: m.Number, Requests: a.Requests, Bad: a.Bad, EnoughEvidence: a.EnoughEvidence, Reason: a.Reason}
}

func (c *controller) act(w *world, now time.Time) {
	c.carryOut(w, c.late, now)
	c.late = nil
	actions := c.decider.Tick(now, c.view())
	if c.pausing {
		c.late, c.pausing, c.paused = actions, false, true
		return
	}
	c.carryOut(w, actions, now)
}

func (c *controller) carryOut(w *world, actions []mover.Action, now time.Time) {
	for _, action := range actions {
		switch a := action.(type) {
		case mover.Append:
			data, err := recorder.Encode(a.Envelope)
			if err == nil {
				err = w.store.append(a.Stream, data, now)
			}
			c.decider.AppendAnswered(a.Envelope.ID, now, err)
		case mover.Order:
			w.send(c, a, now)
		case mover.BroadcastBadVersion:
			c.follower.AddBadVersion(a.Bad)
			for _, h := range w.hosts {
				h.follower.AddBadVersion(a.Bad)
			}
		}
	}
}

func newController(name string, simple bool) *controller {
	if simple {
		return &controller{decider: &naive{name: name}}
	}
	return &controller{decider: &mover.Mover{
		Settings: mover.Settings{
			Host: "h", Lease: mover.DefaultLease, OrderTimeout: mover.DefaultOrderTimeout,
			LoadsAtOnce: mover.DefaultLoadsAtOnce, Retention: mover.DefaultRetention,
		},
		IDPrefix: name,
	}}
}
