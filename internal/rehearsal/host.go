package rehearsal

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

func streams() []appender.Stream {
	return []appender.Stream{appender.StreamConfiguration, appender.StreamMoves}
}

// host is a modelled entry host.
type host struct {
	follower follower.Follower
	splitter splitter.Splitter
	evidence assessor.Evidence
	judge    bool
}

func (h *host) read(s *store) {
	for _, stream := range streams() {
		if page, err := s.read(stream, h.follower.NextOffset(stream)); err == nil {
			h.follower.ApplyPage(stream, page)
			h.follower.ObserveEnd(stream, page.Next-1)
		}
	}
}

// learn takes from a peer what the log does not give.
func (h *host) learn(peer *host) {
	for _, stream := range streams() {
		for _, r := range peer.follower.RecordsAfter(stream, h.follower.NextOffset(stream)-1, 1000) {
			h.follower.Apply(stream, r)
		}
		if peer.follower.Ready() {
			h.follower.ObserveEnd(stream, peer.follower.NextOffset(stream)-1)
		}
	}
	for _, bad := range peer.follower.ReportedBadVersions() {
		h.follower.AddBadVersion(bad)
	}
}

func (h *host) expose(now time.Time) bool {
	m, running := h.follower.Running(service)
	if !running {
		h.evidence.BeginReference(service, oldest, now)
		return false
	}
	h.evidence.BeginExposure(assessor.Exposure{Note: m.ID.Note, Service: service, Step: m.Number, Old: oldest, New: newest}, now)
	return true
}

func (h *host) choose(now time.Time) dotterelpulley.VersionID {
	h.splitter.SetShares(h.follower.Shares(service, now))
	return h.splitter.Choose("")
}

// assess judges by the host's own evidence.
func (h *host) assess(now time.Time) {
	if !h.judge || !h.expose(now) {
		return
	}
	h.evidence.Refresh(now)
	if a := (assessor.Assessor{}).Assess(&h.evidence, now); a.Bad {
		h.follower.AddBadVersion(recorder.BadVersion{
			Move: recorder.MoveID{Note: h.evidence.Exposure.Note, Service: service}, Version: newest, Reason: a.Reason,
		})
	}
}
