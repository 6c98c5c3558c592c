package entry

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

// version returns the version for the request; a version chosen earlier is kept while its share is above 0.
func (l *logState) version(req dotterelpulley.Request, chosen dotterelpulley.VersionID, now time.Time) dotterelpulley.VersionID {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := l.follower.Shares(req.Service, now)
	if chosen != "" && slices.ContainsFunc(shares, func(s dotterelpulley.Share) bool { return s.Version == chosen && s.Fraction > 0 }) {
		return chosen
	}
	s := l.splitters[req.Service]
	if s == nil {
		s = &splitter.Splitter{}
		if l.splitters == nil {
			l.splitters = map[dotterelpulley.ServiceID]*splitter.Splitter{}
		}
		l.splitters[req.Service] = s
	}
	s.SetShares(shares)
	return s.Choose(req.Conversation)
}

// fallback returns the version to use when no endpoint serves the chosen one.
func (l *logState) fallback(service dotterelpulley.ServiceID, now time.Time) dotterelpulley.VersionID {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := l.follower.Shares(service, now)
	if len(shares) == 0 {
		return ""
	}
	return shares[0].Version
}

// badVersions returns the versions of the service that must not get new requests.
func (l *logState) badVersions(service dotterelpulley.ServiceID) []dotterelpulley.VersionID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.BadVersions()[service]
}
