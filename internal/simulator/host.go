package simulator

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

// host is a simulated entry host.
type host struct {
	follower follower.Follower
	splitter splitter.Splitter
	evidence assessor.Evidence
	assesses bool
}

func (h *host) read(l *recordLog) {
	for _, stream := range streams() {
		if page, err := l.read(stream, h.follower.NextOffset(stream)); err == nil {
			h.follower.ApplyPage(stream, page)
			h.follower.ObserveEnd(stream, page.Next-1)
		}
	}
}

// syncFrom copies from a peer the records and bad versions that the host lacks.
func (h *host) syncFrom(peer *host) {
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

func (h *host) beginExposure(now time.Time) bool {
	m, running := h.follower.Running(service)
	if !running {
		h.evidence.BeginReference(service, oldVersion, now)
		return false
	}
	h.evidence.BeginExposure(assessor.Exposure{Note: m.ID.Note, Service: service, Step: m.Number, Old: oldVersion, New: newVersion}, now)
	return true
}

func (h *host) chooseVersion(now time.Time) dotterelpulley.VersionID {
	h.splitter.SetShares(h.follower.Shares(service, now))
	return h.splitter.Choose("")
}

// assess assesses the new version by the host's own evidence and marks it if it is bad.
func (h *host) assess(now time.Time) {
	if !h.assesses || !h.beginExposure(now) {
		return
	}
	h.evidence.Refresh(now)
	if a := (assessor.Assessor{}).Assess(&h.evidence, now); a.Bad {
		h.follower.AddBadVersion(recorder.BadVersion{
			Move: recorder.MoveID{Note: h.evidence.Exposure.Note, Service: service}, Version: newVersion, Reason: a.Reason,
		})
	}
}
