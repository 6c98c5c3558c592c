package recorder

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// eachFromWire converts every element and stops at the first error.
func eachFromWire[W, D any](from []W, convert func(W) (D, error)) ([]D, error) {
	if len(from) == 0 {
		return nil, nil
	}
	to := make([]D, 0, len(from))
	for _, w := range from {
		d, err := convert(w)
		if err != nil {
			return nil, err
		}
		to = append(to, d)
	}
	return to, nil
}

func fromStrings[T ~string](from []string) []T {
	var to []T
	for _, s := range from {
		to = append(to, T(s))
	}
	return to
}

func (w wireService) fromWire() (dotterelpulley.ServiceSettings, error) {
	kind, err := dotterelpulley.ParseServiceKind(w.Kind)
	if err != nil {
		return dotterelpulley.ServiceSettings{}, fmt.Errorf("service %q: %w", w.ID, err)
	}
	return dotterelpulley.ServiceSettings{
		ID:           dotterelpulley.ServiceID(w.ID),
		Kind:         kind,
		InitialBuild: wireBuild{Model: w.Model, Adapter: w.Adapter, Version: w.Version}.fromWire(),
		ChecksFence:  w.ChecksFence,
		Repeatable:   w.Repeatable,
	}, nil
}

func (w wireOrganisation) fromWire() (dotterelpulley.OrganisationSettings, error) {
	o := dotterelpulley.OrganisationSettings{ID: dotterelpulley.OrganisationID(w.ID), Weight: w.Weight}
	if len(w.TokenDigests) > len(o.TokenDigests) {
		return o, fmt.Errorf("organisation %q has %d token digests, allowed are %d", w.ID, len(w.TokenDigests), len(o.TokenDigests))
	}
	for i, text := range w.TokenDigests {
		d, err := dotterelpulley.ParseTokenDigest(text)
		if err != nil {
			return o, fmt.Errorf("organisation %q: %w", w.ID, err)
		}
		o.TokenDigests[i] = d
	}
	return o, nil
}

func (w wireTier) fromWire() (TierDelta, error) {
	tier, err := dotterelpulley.ParseTier(w.Tier)
	if err != nil {
		return TierDelta{}, err
	}
	d := TierDelta{Tier: tier}
	for _, field := range []struct {
		text string
		to   *time.Duration
	}{
		{w.Deadline, &d.Settings.DefaultDeadline},
		{w.FirstToken, &d.Settings.FirstTokenTarget},
		{w.BetweenTokens, &d.Settings.TokenGapTarget},
	} {
		if *field.to, err = time.ParseDuration(field.text); err != nil {
			return TierDelta{}, fmt.Errorf("tier %q: %w", w.Tier, err)
		}
	}
	return d, nil
}

func (w wireDelta) fromWire() (Body, error) {
	var d Delta
	var err error
	if d.Services, err = eachFromWire(w.Services, wireService.fromWire); err != nil {
		return nil, err
	}
	if d.Organisations, err = eachFromWire(w.Organisations, wireOrganisation.fromWire); err != nil {
		return nil, err
	}
	if d.Tiers, err = eachFromWire(w.Tiers, wireTier.fromWire); err != nil {
		return nil, err
	}
	d.RemoveServices = fromStrings[dotterelpulley.ServiceID](w.RemoveServices)
	d.RemoveOrganisations = fromStrings[dotterelpulley.OrganisationID](w.RemoveOrganisations)
	return d, nil
}

func (w wireBuild) fromWire() dotterelpulley.Build {
	return dotterelpulley.Build{
		Version: dotterelpulley.VersionID(w.Version),
		Model:   dotterelpulley.ModelID(w.Model),
		Adapter: dotterelpulley.AdapterID(w.Adapter),
	}
}

func (w wireChange) fromWire() (dotterelpulley.Change, error) {
	action, err := ParseAction(w.Action)
	if err != nil {
		return dotterelpulley.Change{}, err
	}
	return dotterelpulley.Change{
		Action:  action,
		Service: dotterelpulley.ServiceID(w.Service),
		From:    w.From.fromWire(),
		To:      w.To.fromWire(),
		After:   fromStrings[dotterelpulley.ServiceID](w.After),
	}, nil
}

// ParseAction returns the change action with the given name.
func ParseAction(name string) (dotterelpulley.ChangeAction, error) {
	actions := []dotterelpulley.ChangeAction{
		dotterelpulley.ChangeAdd, dotterelpulley.ChangeReplace, dotterelpulley.ChangeWithdraw,
	}
	i := slices.IndexFunc(actions, func(a dotterelpulley.ChangeAction) bool { return a.String() == name })
	if i < 0 {
		return 0, fmt.Errorf("action %q is none of %q", name, actions)
	}
	return actions[i], nil
}

func (w wireNote) fromWire() (dotterelpulley.ReleaseNote, error) {
	observationTime, err := time.ParseDuration(w.Watch)
	if err != nil {
		return dotterelpulley.ReleaseNote{}, fmt.Errorf("release note %q: watch: %w", w.ID, err)
	}
	changes, err := eachFromWire(w.Changes, wireChange.fromWire)
	if err != nil {
		return dotterelpulley.ReleaseNote{}, fmt.Errorf("release note %q: %w", w.ID, err)
	}
	return dotterelpulley.ReleaseNote{
		ID:              dotterelpulley.NoteID(w.ID),
		Deadline:        w.Deadline.UTC(),
		CanaryShare:     w.CanaryShare,
		ObservationTime: observationTime,
		Changes:         changes,
	}, nil
}

func (w wireNote) body() (Body, error) {
	note, err := w.fromWire()
	return Note{Note: note}, err
}

func (w wireAcceptedNote) fromWire() (AcceptedNote, error) {
	note, err := w.Note.fromWire()
	return AcceptedNote{Offset: appender.Offset(w.Offset), Appended: w.Appended.UTC(), Note: note}, err
}

func (w wireConfiguration) fromWire() (Body, error) {
	s := ConfigurationState{NewestRecord: RecordID(w.Newest)}
	c := &s.Configuration
	c.Revision = dotterelpulley.Revision(w.Revision)
	var err error
	if c.Services, err = eachFromWire(w.Services, wireService.fromWire); err != nil {
		return nil, err
	}
	if c.Organisations, err = eachFromWire(w.Organisations, wireOrganisation.fromWire); err != nil {
		return nil, err
	}
	tiers, err := eachFromWire(w.Tiers, wireTier.fromWire)
	if err != nil {
		return nil, err
	}
	for _, t := range tiers {
		c.Tiers[t.Tier] = t.Settings
	}
	if s.Notes, err = eachFromWire(w.Notes, wireAcceptedNote.fromWire); err != nil {
		return nil, err
	}
	return ConfigurationSnapshot{Through: appender.Offset(w.Through), State: s}, nil
}

func (w wireMoveID) fromWire() MoveID {
	return MoveID{Note: dotterelpulley.NoteID(w.Note), Service: dotterelpulley.ServiceID(w.Service)}
}

func (w wireFence) fromWire() appender.Offset {
	return appender.Offset(w.Fence)
}

func (w wireClaim) fromWire() (Body, error) {
	duration, err := time.ParseDuration(w.Duration)
	return Claim{Holder: dotterelpulley.HostID(w.Holder), Duration: duration, PreviousFence: appender.Offset(w.After)}, err
}

func (w wireOpening) fromWire() (Body, error) {
	action, err := ParseAction(w.Action)
	if err != nil {
		return nil, err
	}
	observationTime, err := time.ParseDuration(w.Watch)
	if err != nil {
		return nil, err
	}
	return Opening{
		Fence: w.wireFence.fromWire(), Move: w.wireMoveID.fromWire(), Action: action,
		From: w.From.fromWire(), To: w.To.fromWire(), Deadline: w.Deadline.UTC(), CanaryShare: w.Cap, ObservationTime: observationTime,
	}, nil
}

func (w wireStep) fromWire() (Body, error) {
	return Step{
		Fence: w.wireFence.fromWire(), Move: w.wireMoveID.fromWire(),
		Number: w.Number, Share: w.Share, Reason: w.Reason,
	}, nil
}

func (w wireOutcome) fromWire() (Body, error) {
	done := w.Outcome == PhaseDone.String()
	if !done && w.Outcome != PhaseUndone.String() {
		return nil, fmt.Errorf("outcome %q is neither %q nor %q", w.Outcome, PhaseDone, PhaseUndone)
	}
	return Outcome{Fence: w.wireFence.fromWire(), Move: w.wireMoveID.fromWire(), Done: done, Reason: w.Reason}, nil
}

func (w wireBadVersion) fromWire() (Body, error) {
	return BadVersion{
		Move: w.wireMoveID.fromWire(), Version: dotterelpulley.VersionID(w.Version),
		Reason: w.Reason, ReportedBy: dotterelpulley.HostID(w.By),
	}, nil
}

func (w wireLease) fromWire() (Lease, error) {
	duration, err := time.ParseDuration(w.Duration)
	return Lease{
		Holder: dotterelpulley.HostID(w.Holder), Duration: duration, Fence: w.wireFence.fromWire(),
		LastRenewal: appender.Offset(w.Newest), Released: w.Released,
	}, err
}

func (w wireMove) fromWire() (Move, error) {
	action, err := ParseAction(w.Action)
	if err != nil {
		return Move{}, err
	}
	observationTime, err := time.ParseDuration(w.Watch)
	if err != nil {
		return Move{}, err
	}
	phase := slices.Index(phaseNames[:], w.Phase)
	if phase < 0 {
		return Move{}, fmt.Errorf("phase %q is none of %q", w.Phase, phaseNames)
	}
	return Move{
		ID: w.wireMoveID.fromWire(), Action: action, From: w.From.fromWire(), To: w.To.fromWire(),
		Deadline: w.Deadline.UTC(), CanaryShare: w.Cap, ObservationTime: observationTime, Phase: Phase(phase),
		Number: w.Number, Share: w.Share, Since: w.Since.UTC(), Bad: w.Bad, Reason: w.Reason,
		Opened: appender.Offset(w.Opened), Ended: appender.Offset(w.Ended),
	}, nil
}

func (w wireMoves) fromWire() (Body, error) {
	lease, err := w.Lease.fromWire()
	if err != nil {
		return nil, err
	}
	moves, err := eachFromWire(w.Moves, wireMove.fromWire)
	if err != nil {
		return nil, err
	}
	s := MovesState{Lease: lease, Moves: moves}
	for service, build := range w.InForce {
		if s.InForce == nil {
			s.InForce = map[dotterelpulley.ServiceID]dotterelpulley.Build{}
		}
		s.InForce[dotterelpulley.ServiceID(service)] = build.fromWire()
	}
	return MovesSnapshot{Through: appender.Offset(w.Through), State: s}, nil
}
