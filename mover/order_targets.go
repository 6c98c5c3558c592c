package mover

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// defaultTimeLeft is the time left that is assumed for endpoints of a service without a running move.
const defaultTimeLeft = 24 * time.Hour

// orderTarget is an endpoint whose loaded builds differ from the wanted ones.
type orderTarget struct {
	endpoint Endpoint
	want     []dotterelpulley.VersionID
	deadline time.Time
	// rank is the endpoint's position in its generation.
	rank      int
	needsLoad bool
}

// orderTargets returns the endpoints whose builds are not the wanted ones: the nearest deadline first, then one of each generation.
func orderTargets(now time.Time, view *View) []orderTarget {
	var found []orderTarget
	for _, service := range servicesOf(view) {
		found = append(found, serviceTargets(now, view, service)...)
	}
	slices.SortStableFunc(found, func(a, b orderTarget) int {
		if c := a.deadline.Compare(b.deadline); c != 0 {
			return c
		}
		return a.rank - b.rank
	})
	return found
}

func servicesOf(view *View) []dotterelpulley.ServiceID {
	var services []dotterelpulley.ServiceID
	for _, e := range view.Endpoints {
		if !slices.Contains(services, e.Service) {
			services = append(services, e.Service)
		}
	}
	return services
}

func serviceTargets(now time.Time, view *View, service dotterelpulley.ServiceID) []orderTarget {
	build, known := view.inForce(service)
	if !known {
		return nil
	}
	moves := movesOf(view, service)
	serving := view.serving(service)
	var found []orderTarget
	for i, r := range rankByGeneration(serving) {
		want := wantedBuilds(now, moves, r, i < canaryCount(moves, len(serving)))
		want = addVersion([]dotterelpulley.VersionID{recorder.VersionOf(build)}, want...)
		if satisfied(r.Loaded, want, len(moves) > 0) {
			continue
		}
		found = append(found, orderTarget{
			endpoint: r.Endpoint, want: want, rank: r.rank,
			deadline: nearestDeadline(now, moves), needsLoad: !subset(want, r.Loaded),
		})
	}
	return found
}

type rankedEndpoint struct {
	Endpoint
	rank int
}

// rankByGeneration orders the endpoints so that the first ones cover every generation.
func rankByGeneration(endpoints []Endpoint) []rankedEndpoint {
	endpoints = slices.Clone(endpoints)
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	seen := map[dotterelpulley.Generation]int{}
	var found []rankedEndpoint
	for _, e := range endpoints {
		found = append(found, rankedEndpoint{Endpoint: e, rank: seen[e.Generation]})
		seen[e.Generation]++
	}
	slices.SortStableFunc(found, func(a, b rankedEndpoint) int { return a.rank - b.rank })
	return found
}

// canaryCount returns how many endpoints must load a version before its canary step.
func canaryCount(moves []recorder.Move, endpoints int) int {
	n := 0
	for _, m := range moves {
		if m.Running() {
			n = max(n, int(math.Ceil(m.CanaryShare*float64(endpoints))))
		}
	}
	return n
}

// wantedBuilds returns the builds that the endpoint must hold in addition to the build in force.
func wantedBuilds(now time.Time, moves []recorder.Move, e rankedEndpoint, canary bool) []dotterelpulley.VersionID {
	var want []dotterelpulley.VersionID
	for _, m := range moves {
		switch m.Action {
		case dotterelpulley.ChangeReplace:
			want = addVersion(want, buildsForReplace(now, m, e, canary)...)
		case dotterelpulley.ChangeAdd:
			if m.Phase != recorder.PhaseUndone && !replaced(moves, m) {
				want = addVersion(want, recorder.VersionOf(m.To))
			}
		case dotterelpulley.ChangeWithdraw:
			if m.Phase != recorder.PhaseUndone {
				want = slices.DeleteFunc(want, func(v dotterelpulley.VersionID) bool { return v == recorder.VersionOf(m.From) })
			}
		}
	}
	return want
}

func buildsForReplace(now time.Time, m recorder.Move, e rankedEndpoint, canary bool) []dotterelpulley.VersionID {
	if m.Running() && !m.Bad {
		if m.Number > 0 || canary || e.rank == 0 || e.hasLoaded(m.To) {
			return []dotterelpulley.VersionID{recorder.VersionOf(m.From), recorder.VersionOf(m.To)}
		}
		return nil
	}
	if m.Running() || now.Sub(m.Since) < unloadDelay {
		return keptVersions(e.Endpoint, m)
	}
	return nil
}

// replaced reports whether a later, completed move has replaced or withdrawn the added version.
func replaced(moves []recorder.Move, added recorder.Move) bool {
	for _, m := range moves {
		if m.Phase == recorder.PhaseDone && m.Opened > added.Opened && recorder.VersionOf(m.From) == recorder.VersionOf(added.To) {
			return true
		}
	}
	return false
}

func nearestDeadline(now time.Time, moves []recorder.Move) time.Time {
	deadline := now.Add(defaultTimeLeft)
	for _, m := range moves {
		if m.Running() && m.Deadline.Before(deadline) {
			deadline = m.Deadline
		}
	}
	return deadline
}
