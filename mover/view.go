package mover

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// View is what the mover knows of the world at one tick.
type View struct {
	Configuration recorder.ConfigurationState
	Moves         recorder.MovesState
	// CaughtUp is when both streams were last read to their end.
	CaughtUp time.Time
	// Endpoints are the model endpoints whose state is known.
	Endpoints []Endpoint
	// Assessments judge the running moves at their newest step.
	Assessments map[recorder.MoveID]Assessment
	// BadVersions are the verdicts that entry hosts have spread.
	BadVersions []recorder.BadVersion
	// Tails tell how long each stream has gone without a snapshot.
	Tails Tails
}

// Endpoint is a model endpoint with what it last said of its orders.
type Endpoint struct {
	ID         dotterelpulley.EndpointID
	Service    dotterelpulley.ServiceID
	Generation dotterelpulley.Generation
	Leaving    bool
	// Loaded are the builds, as "MODEL@VERSION", that the endpoint has.
	Loaded  []dotterelpulley.VersionID
	Loading bool
	// Failure is the reason that the endpoint gave for a failed order.
	Failure string
}

// Assessment says what the entry hosts' evidence shows of a running move at its newest step.
type Assessment struct {
	// Step is the step that the evidence is of.
	Step     int
	Requests int
	Bad      bool
	// EnoughEvidence says that every route has been proved at this step.
	EnoughEvidence bool
	Reason         string
}

// Tail is a stream's run of records from the newest snapshot on.
type Tail struct {
	Records int
	Oldest  time.Time
	Through recorder.Place
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
	return s.Build, known && s.Kind == dotterelpulley.ServiceModel
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

func (e Endpoint) has(build dotterelpulley.Build) bool {
	for _, v := range e.Loaded {
		if v == recorder.VersionOf(build) {
			return true
		}
	}
	return false
}
