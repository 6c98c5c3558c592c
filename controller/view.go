package controller

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// view returns the mover's input; the caller holds c.mu.
func (c *Controller) view() *mover.View {
	v := &mover.View{
		Configuration: c.follower.ConfigurationState(),
		Moves:         c.follower.MovesState(),
		CaughtUp:      c.caughtUp(),
		BadVersions:   c.follower.ReportedBadVersions(),
		Assessments:   map[recorder.MoveID]mover.Assessment{},
		Tails: mover.Tails{
			Configuration: c.tail(appender.StreamConfiguration),
			Moves:         c.tail(appender.StreamMoves),
		},
	}
	for _, h := range c.hostList.Hosts {
		if e, known := c.endpoints[h.Endpoint().ID]; known && h.Kind == lister.KindEngine {
			v.Endpoints = append(v.Endpoints, e)
		}
	}
	for id, a := range c.assessments {
		v.Assessments[id] = a
	}
	return v
}

// assessAll recomputes the assessment of every running move; the caller holds c.mu.
func (c *Controller) assessAll(now time.Time) {
	c.assessments = map[recorder.MoveID]mover.Assessment{}
	for _, m := range c.follower.MovesState().Moves {
		if m.Running() && m.Number > 0 {
			c.assessments[m.ID] = c.assess(m, now)
		}
	}
}

// caughtUp returns the time up to which both streams are known to be read: the earlier start of their latest reads that reached the end.
// It is zero while the follower is not ready, as earlier records are missing.
func (c *Controller) caughtUp() time.Time {
	if !c.follower.Ready() {
		return time.Time{}
	}
	configuration, moves := c.caughtUpAt[appender.StreamConfiguration], c.caughtUpAt[appender.StreamMoves]
	if configuration.Before(moves) {
		return configuration
	}
	return moves
}

func (c *Controller) tail(stream appender.Stream) mover.Tail {
	records, oldest := c.follower.Tail(stream)
	return mover.Tail{
		Records: records,
		Oldest:  oldest,
		Through: recorder.Position{Offset: c.follower.NextOffset(stream) - 1},
	}
}

// assess assesses the evidence of all entry hosts on the move's newest step.
func (c *Controller) assess(m recorder.Move, now time.Time) mover.Assessment {
	exposure := exposureOf(m)
	total := assessor.Evidence{Exposure: exposure}
	for _, hostEvidence := range c.evidence {
		for _, e := range hostEvidence {
			if e.Exposure == exposure {
				total.Merge(e)
			}
		}
	}
	if len(total.Cells) == 0 {
		return mover.Assessment{Reason: "no evidence yet"}
	}
	a := c.assessor.Assess(&total, now)
	return mover.Assessment{
		Step:           m.Number,
		Requests:       a.Requests,
		Bad:            a.Bad,
		EnoughEvidence: a.EnoughEvidence,
		Reason:         a.Reason,
	}
}

func exposureOf(m recorder.Move) assessor.Exposure {
	return assessor.Exposure{
		Note:    m.ID.Note,
		Service: m.ID.Service,
		Step:    m.Number,
		Old:     recorder.VersionOf(m.From),
		New:     recorder.VersionOf(m.To),
	}
}
