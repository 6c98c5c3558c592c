package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// View is the state that the mover decides from at one tick.
type View struct {
	Configuration recorder.ConfigurationState
	Moves         recorder.MovesState
	// CaughtUp is when both streams were last read to their end.
	CaughtUp time.Time
	// Endpoints are the model endpoints whose state is known.
	Endpoints []Endpoint
	// Assessments are of the running moves at their newest step.
	Assessments map[recorder.MoveID]Assessment
	// BadVersions are the verdicts that entry hosts have broadcast.
	BadVersions []recorder.BadVersion
	// Tails are the records of each stream since its newest snapshot.
	Tails Tails
}

// Endpoint is a model endpoint with its last reported state.
type Endpoint struct {
	ID         dotterelpulley.EndpointID
	Service    dotterelpulley.ServiceID
	Generation dotterelpulley.Generation
	Leaving    bool
	// Loaded are the builds that the endpoint has loaded, as "MODEL@VERSION".
	Loaded  []dotterelpulley.VersionID
	Loading bool
	// Failure is the reason that the endpoint reported for a failed order.
	Failure string
}

// Assessment is the result of the entry hosts' evidence on a running move at its newest step.
type Assessment struct {
	// Step is the step that the evidence belongs to.
	Step     int
	Requests int
	Bad      bool
	// EnoughEvidence reports that every route has been proved at this step.
	EnoughEvidence bool
	Reason         string
}

// Tail describes the records of a stream since its newest snapshot.
type Tail struct {
	Records int
	Oldest  time.Time
	Through recorder.Position
}

// Tails are the tails of the two streams.
type Tails struct {
	Configuration Tail
	Moves         Tail
}

// inForce returns the build that a service runs outside a move.
func (v *View) inForce(service dotterelpulley.ServiceID) (dotterelpulley.Build, bool) {
	if build, moved := v.Moves.InForce[service]; moved {
		return build, true
	}
	s, known := v.Configuration.Configuration.Service(service)
	return s.InitialBuild, known && s.Kind == dotterelpulley.ServiceModel
}

// serving returns the service's endpoints that are not leaving.
func (v *View) serving(service dotterelpulley.ServiceID) []Endpoint {
	var found []Endpoint
	for _, e := range v.Endpoints {
		if e.Service == service && !e.Leaving {
			found = append(found, e)
		}
	}
	return found
}

func (e Endpoint) hasLoaded(build dotterelpulley.Build) bool {
	for _, v := range e.Loaded {
		if v == recorder.VersionOf(build) {
			return true
		}
	}
	return false
}
