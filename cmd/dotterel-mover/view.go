package main

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// view gathers what the mover decides from; p.mu is held.
func (p *process) view() *mover.View {
	v := &mover.View{
		Configuration: p.follower.ConfigurationState(),
		Moves:         p.follower.MovesState(),
		CaughtUp:      p.caughtUp(),
		Marked:        p.follower.Marked(),
		Assessments:   map[recorder.MoveID]mover.Assessment{},
		Tails: mover.Tails{
			Configuration: p.tail(appender.StreamConfiguration),
			Moves:         p.tail(appender.StreamMoves),
		},
	}
	for _, h := range p.list.Hosts {
		if e, known := p.endpoints[h.Endpoint().ID]; known && h.Kind == lister.KindEngine {
			v.Endpoints = append(v.Endpoints, e)
		}
	}
	for id, a := range p.assessments {
		v.Assessments[id] = a
	}
	return v
}

// assessAll judges every running move anew; p.mu is held.
func (p *process) assessAll(now time.Time) {
	p.assessments = map[recorder.MoveID]mover.Assessment{}
	for _, m := range p.follower.MovesState().Moves {
		if m.Running() && m.Number > 0 {
			p.assessments[m.ID] = p.assess(m, now)
		}
	}
}

// caughtUp returns when both streams were last read to their end, and the zero time while earlier records are missing.
func (p *process) caughtUp() time.Time {
	if !p.follower.Ready() {
		return time.Time{}
	}
	configuration, moves := p.read[appender.StreamConfiguration], p.read[appender.StreamMoves]
	if configuration.Before(moves) {
		return configuration
	}
	return moves
}

func (p *process) tail(stream appender.Stream) mover.Tail {
	records, oldest := p.follower.Tail(stream)
	return mover.Tail{
		Records: records,
		Oldest:  oldest,
		Through: recorder.Place{Offset: p.follower.Next(stream) - 1},
	}
}

// assess judges the evidence of all entry hosts on the move's newest step.
func (p *process) assess(m recorder.Move, now time.Time) mover.Assessment {
	exposure := exposureOf(m)
	total := assessor.Evidence{Exposure: exposure}
	for _, host := range p.evidence {
		for _, e := range host {
			if e.Exposure == exposure {
				total.Merge(e)
			}
		}
	}
	if len(total.Cells) == 0 {
		return mover.Assessment{Reason: "no evidence yet"}
	}
	a := p.assessor.Assess(&total, now)
	return mover.Assessment{
		Step:     m.Number,
		Requests: a.Requests,
		Bad:      a.Bad,
		Enough:   a.Enough,
		Reason:   a.Reason,
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
