package picker

import (
	"slices"

	"github.com/dotterelpulley/dotterelpulley"
)

const maxConversations = 16384

// shares gives the versions of one service their fractions by count.
type shares struct {
	want  []dotterelpulley.Share
	given []float64
	total float64
	// young and old remember the versions of conversations in two generations.
	young map[string]dotterelpulley.VersionID
	old   map[string]dotterelpulley.VersionID
}

func (s *shares) set(want []dotterelpulley.Share) {
	if slices.Equal(s.want, want) {
		return
	}
	s.want = slices.Clone(want)
	s.given = make([]float64, len(want))
	s.total = 0
}

// version returns the version that is furthest behind its share, or the conversation's own.
func (s *shares) version(conversation string) dotterelpulley.VersionID {
	if v, ok := s.sticky(conversation); ok {
		return v
	}
	var best dotterelpulley.VersionID
	behind := 0.0
	for i, share := range s.want {
		if share.Fraction <= 0 {
			continue
		}
		if d := share.Fraction*(s.total+1) - s.given[i]; best == "" || d > behind {
			best, behind = share.Version, d
		}
	}
	return best
}

func (s *shares) sticky(conversation string) (dotterelpulley.VersionID, bool) {
	if conversation == "" {
		return "", false
	}
	v, ok := s.young[conversation]
	if !ok {
		v, ok = s.old[conversation]
	}
	return v, ok && s.fraction(v) > 0
}

func (s *shares) fraction(v dotterelpulley.VersionID) float64 {
	for _, share := range s.want {
		if share.Version == v {
			return share.Fraction
		}
	}
	return 0
}

// count records that a request of the conversation went to the version.
func (s *shares) count(v dotterelpulley.VersionID, conversation string) {
	for i, share := range s.want {
		if share.Version == v {
			s.given[i]++
			s.total++
		}
	}
	if conversation == "" {
		return
	}
	if s.young == nil || len(s.young) >= maxConversations/2 {
		s.old = s.young
		s.young = map[string]dotterelpulley.VersionID{}
	}
	s.young[conversation] = v
}
