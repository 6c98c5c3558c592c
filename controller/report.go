package controller

import (
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// reportChange logs and counts the effect of a record.
func (c *Controller) reportChange(change follower.Change) {
	v := change.Verdict
	if !v.Accepted {
		c.counters.Inc("records-refused")
		c.log.Info().Str("event", "record-refused").Str("stream", string(change.Stream)).
			Int64("offset", int64(v.Offset)).Str("reason", v.Reason).Msg("")
		return
	}
	switch body := change.Body.(type) {
	case recorder.Claim:
		c.counters.Inc("leases-claimed")
		c.log.Info().Str("event", "lease").Str("holder", string(body.Holder)).Int64("fence", int64(v.Offset)).Msg("")
	case recorder.Opening:
		c.counters.Inc("moves-opened")
		c.log.Info().Str("event", "opened").Str("move", body.Move.String()).Msg("")
	case recorder.Step:
		c.counters.Inc("steps")
		c.log.Info().Str("event", "step").Str("move", body.Move.String()).
			Float64("share", body.Share).Str("reason", body.Reason).Msg("")
	case recorder.Outcome:
		event := recorder.PhaseUndone.String()
		if body.Done {
			event = recorder.PhaseDone.String()
		}
		c.counters.Inc("moves-" + event)
		c.log.Info().Str("event", event).Str("move", body.Move.String()).Str("reason", body.Reason).Msg("")
	case recorder.BadVersion:
		c.counters.Inc("versions-bad")
		c.log.Warn().Str("event", "bad").Str("move", body.Move.String()).Str("reason", body.Reason).Msg("")
	case recorder.Delta, recorder.Note:
		c.counters.Inc("configuration-records")
	case recorder.Renewal, recorder.Release, recorder.ConfigurationSnapshot, recorder.MovesSnapshot:
	}
}
