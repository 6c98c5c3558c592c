package recorder

import (
	"github.com/dotterelpulley/dotterelpulley"
)

func eachToWire[D, W any](from []D, convert func(D) W) []W {
	if len(from) == 0 {
		return nil
	}
	to := make([]W, 0, len(from))
	for _, d := range from {
		to = append(to, convert(d))
	}
	return to
}

func toString[T ~string](v T) string {
	return string(v)
}

func serviceToWire(s dotterelpulley.ServiceSettings) wireService {
	return wireService{
		ID: string(s.ID), Kind: s.Kind.String(),
		Model: string(s.InitialBuild.Model), Adapter: string(s.InitialBuild.Adapter), Version: string(s.InitialBuild.Version),
		ChecksFence: s.ChecksFence, Repeatable: s.Repeatable,
	}
}

func organisationToWire(o dotterelpulley.OrganisationSettings) wireOrganisation {
	w := wireOrganisation{ID: string(o.ID), Weight: o.Weight}
	for _, d := range o.TokenDigests {
		if d != "" {
			w.TokenDigests = append(w.TokenDigests, string(d))
		}
	}
	return w
}

func tierToWire(t TierDelta) wireTier {
	return wireTier{
		Tier:          t.Tier.String(),
		Deadline:      t.Settings.DefaultDeadline.String(),
		FirstToken:    t.Settings.FirstTokenTarget.String(),
		BetweenTokens: t.Settings.TokenGapTarget.String(),
	}
}

func (d Delta) toWire() wireDelta {
	return wireDelta{
		Services:            eachToWire(d.Services, serviceToWire),
		Organisations:       eachToWire(d.Organisations, organisationToWire),
		Tiers:               eachToWire(d.Tiers, tierToWire),
		RemoveServices:      eachToWire(d.RemoveServices, toString),
		RemoveOrganisations: eachToWire(d.RemoveOrganisations, toString),
	}
}

func buildToWire(b dotterelpulley.Build) wireBuild {
	return wireBuild{Model: string(b.Model), Adapter: string(b.Adapter), Version: string(b.Version)}
}

func changeToWire(c dotterelpulley.Change) wireChange {
	return wireChange{
		Action: c.Action.String(), Service: string(c.Service),
		From: buildToWire(c.From), To: buildToWire(c.To), After: eachToWire(c.After, toString),
	}
}

func noteToWire(n dotterelpulley.ReleaseNote) wireNote {
	return wireNote{
		ID: string(n.ID), Deadline: n.Deadline.UTC(), CanaryShare: n.CanaryShare,
		Watch: n.ObservationTime.String(), Changes: eachToWire(n.Changes, changeToWire),
	}
}

func acceptedToWire(n AcceptedNote) wireAcceptedNote {
	return wireAcceptedNote{Offset: int64(n.Offset), Appended: n.Appended.UTC(), Note: noteToWire(n.Note)}
}

func (c ConfigurationSnapshot) toWire() wireConfiguration {
	s := c.State
	w := wireConfiguration{
		Through:       int64(c.Through),
		Revision:      int64(s.Configuration.Revision),
		Newest:        string(s.NewestRecord),
		Services:      eachToWire(s.Configuration.Services, serviceToWire),
		Organisations: eachToWire(s.Configuration.Organisations, organisationToWire),
		Notes:         eachToWire(s.Notes, acceptedToWire),
	}
	for t, settings := range s.Configuration.Tiers {
		w.Tiers = append(w.Tiers, tierToWire(TierDelta{Tier: dotterelpulley.Tier(t), Settings: settings}))
	}
	return w
}

func moveIDToWire(id MoveID) wireMoveID {
	return wireMoveID{Note: string(id.Note), Service: string(id.Service)}
}

func (c Claim) toWire() wireClaim {
	return wireClaim{Holder: string(c.Holder), Duration: c.Duration.String(), After: int64(c.PreviousFence)}
}

func (o Opening) toWire() wireOpening {
	return wireOpening{
		wireFence: wireFence{int64(o.Fence)}, wireMoveID: moveIDToWire(o.Move), Action: o.Action.String(),
		From: buildToWire(o.From), To: buildToWire(o.To), Deadline: o.Deadline.UTC(), Cap: o.CanaryShare, Watch: o.ObservationTime.String(),
	}
}

func (s Step) toWire() wireStep {
	return wireStep{
		wireFence: wireFence{int64(s.Fence)}, wireMoveID: moveIDToWire(s.Move),
		Number: s.Number, Share: s.Share, Reason: s.Reason,
	}
}

func (o Outcome) toWire() wireOutcome {
	outcome := PhaseUndone
	if o.Done {
		outcome = PhaseDone
	}
	return wireOutcome{
		wireFence: wireFence{int64(o.Fence)}, wireMoveID: moveIDToWire(o.Move),
		Outcome: outcome.String(), Reason: o.Reason,
	}
}

func (b BadVersion) toWire() wireBadVersion {
	return wireBadVersion{wireMoveID: moveIDToWire(b.Move), Version: string(b.Version), Reason: b.Reason, By: string(b.ReportedBy)}
}

func moveToWire(m Move) wireMove {
	return wireMove{
		wireMoveID: moveIDToWire(m.ID), Action: m.Action.String(), From: buildToWire(m.From), To: buildToWire(m.To),
		Deadline: m.Deadline.UTC(), Cap: m.CanaryShare, Watch: m.ObservationTime.String(), Phase: m.Phase.String(),
		Number: m.Number, Share: m.Share, Since: m.Since.UTC(), Bad: m.Bad, Reason: m.Reason,
		Opened: int64(m.Opened), Ended: int64(m.Ended),
	}
}

func (m MovesSnapshot) toWire() wireMoves {
	s := m.State
	w := wireMoves{
		Through: int64(m.Through),
		Lease: wireLease{
			wireFence: wireFence{int64(s.Lease.Fence)}, Holder: string(s.Lease.Holder),
			Duration: s.Lease.Duration.String(), Newest: int64(s.Lease.LastRenewal), Released: s.Lease.Released,
		},
		Moves:   eachToWire(s.Moves, moveToWire),
		InForce: map[string]wireBuild{},
	}
	for service, build := range s.InForce {
		w.InForce[string(service)] = buildToWire(build)
	}
	return w
}
