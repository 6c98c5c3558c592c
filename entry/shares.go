package entry

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/splitter"
)

// version returns the version for the request; one that was chosen before is kept while it may get requests.
func (f *followed) version(req dotterelpulley.Request, chosen dotterelpulley.VersionID, now time.Time) dotterelpulley.VersionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	shares := f.follower.Shares(req.Service, now)
	if chosen != "" && slices.ContainsFunc(shares, func(s dotterelpulley.Share) bool { return s.Version == chosen && s.Fraction > 0 }) {
		return chosen
	}
	s := f.splitters[req.Service]
	if s == nil {
		s = &splitter.Splitter{}
		if f.splitters == nil {
			f.splitters = map[dotterelpulley.ServiceID]*splitter.Splitter{}
		}
		f.splitters[req.Service] = s
	}
	s.SetShares(shares)
	return s.Choose(req.Conversation)
}

// fallback returns the version to use when no endpoint has the chosen one.
func (f *followed) fallback(service dotterelpulley.ServiceID, now time.Time) dotterelpulley.VersionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	shares := f.follower.Shares(service, now)
	if len(shares) == 0 {
		return ""
	}
	return shares[0].Version
}

// barred returns the versions that must get no new request of the service.
func (f *followed) barred(service dotterelpulley.ServiceID) []dotterelpulley.VersionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.BadVersions()[service]
}
