package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// SplitMode says which work may run on the endpoints of a split's target.
type SplitMode int

// The modes of a split.
const (
	// SplitNone keeps all work off the target.
	SplitNone SplitMode = iota
	// SplitMarked lets work that is marked for the target run on it.
	SplitMarked
	// SplitAll keeps all work on the target.
	SplitAll
)

// Split divides a service's work between its target version and all others; the zero value ignores versions.
type Split struct {
	// Target is the version that is being introduced.
	Target dotterelpulley.VersionID
	// Barred is a version that gets no work at all; empty for none.
	Barred dotterelpulley.VersionID
	Mode   SplitMode
	// Focus is the target's only endpoint that gets marked work; empty for all of them.
	Focus dotterelpulley.EndpointID
}

// splitGrace is how long there has to be no live endpoint of the permitted versions until the others get work as well.
const splitGrace = time.Second

// splitState is the split of a service with what follows from its endpoints.
type splitState struct {
	Split
	// liveAt is when an endpoint of the permitted versions was last live.
	liveAt time.Time
	// suspended means that the split is ignored because its versions have no live endpoint.
	suspended bool
}

// SetSplit replaces the split of the service.
func (s *Scheduler) SetSplit(now time.Time, id dotterelpulley.ServiceID, split Split) {
	v := s.service(id)
	known := v.split
	if known.Split == split {
		return
	}
	v.split = splitState{Split: split, liveAt: now}
	if known.Target == split.Target && known.Barred == split.Barred && (known.Mode == SplitAll) == (split.Mode == SplitAll) {
		// The same versions have to be live as before.
		v.split.liveAt, v.split.suspended = known.liveAt, known.suspended
	}
}

// TargetEndpoints returns the live endpoints of the service that have the version and aren't slow after their start, by id.
func (s *Scheduler) TargetEndpoints(now time.Time, id dotterelpulley.ServiceID, version dotterelpulley.VersionID) []dotterelpulley.EndpointID {
	var found []dotterelpulley.EndpointID
	for _, e := range s.service(id).sorted {
		if e.Version == version && e.State == dotterelpulley.EndpointLive && !now.Before(e.WarmAt) {
			found = append(found, e.ID)
		}
	}
	return found
}

// update suspends the split while the versions that it permits have had no live endpoint for some time. One that is unusable
// for a while, as it pauses or restarts, is waited for: the others may be bad.
func (p *splitState) update(now time.Time, endpoints []*endpoint) {
	for _, e := range endpoints {
		if p.permitsAny(e) && (p.Mode == SplitAll) == (e.Version == p.Target) && e.State == dotterelpulley.EndpointLive {
			p.liveAt = now
		}
	}
	p.suspended = now.Sub(p.liveAt) >= splitGrace
}

// permitsAny reports whether any work may run on the endpoint.
func (p *splitState) permitsAny(e *endpoint) bool {
	if p.Barred != "" && e.Version == p.Barred {
		return false
	}
	if p.Target == "" || p.suspended {
		return true
	}
	switch p.Mode {
	case SplitNone:
		return e.Version != p.Target
	case SplitAll:
		return e.Version == p.Target
	case SplitMarked:
		return e.Version != p.Target || p.Focus == "" || p.Focus == e.ID
	}
	return true
}

// permits reports whether the work may run on the endpoint.
func (p *splitState) permits(e *endpoint, w Work) bool {
	return p.permitsAny(e) && (p.Target == "" || p.suspended || p.Mode != SplitMarked || w.ForTarget || e.Version != p.Target)
}

// prefersTarget reports whether the work runs on the target if that has room.
func (p *splitState) prefersTarget(w Work) bool {
	return p.Target != "" && p.Mode == SplitMarked && w.ForTarget
}
