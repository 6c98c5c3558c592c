package splitter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Splitter divides one service's requests; the zero value gives every request to the first version.
//
// Each host gives the second version at most the floor of its share of the
// requests that the host itself has divided since the share was set. So the
// bound holds over all hosts together, whichever of them join or die.
type Splitter struct {
	shares []dotterelpulley.Share
	total  int
	second int
}

// SetShares takes the shares in force, the version to fall back on first; a change begins a new count.
func (s *Splitter) SetShares(shares []dotterelpulley.Share) {
	if equal(s.shares, shares) {
		return
	}
	s.shares = append([]dotterelpulley.Share(nil), shares...)
	s.total, s.second = 0, 0
}

// Choose returns the version for the next request; a conversation keeps to one version while the bound allows.
func (s *Splitter) Choose(conversation string) dotterelpulley.VersionID {
	if len(s.shares) == 0 {
		return ""
	}
	s.total++
	if len(s.shares) == 1 {
		return s.shares[0].Version
	}
	share := s.shares[1]
	allowed := float64(s.second+1) <= share.Fraction*float64(s.total)+rounding
	if !allowed || !wants(conversation, share) {
		return s.shares[0].Version
	}
	s.second++
	return share.Version
}

// stickyPart is the part of a share that conversations are spread over; the rest is slack,
// so that an uneven run of them seldom meets the bound and changes versions.
const stickyPart = 0.9

// rounding forgives the error of a product such as 0.1 x 10.
const rounding = 1e-9

// wants reports whether the conversation is one of those that the version gets; a higher share only adds to them.
func wants(conversation string, share dotterelpulley.Share) bool {
	if conversation == "" || share.Fraction >= 1 {
		return true
	}
	h := xxhash.Sum64String(string(share.Version) + "\x00" + conversation)
	return float64(h>>11)/(1<<53) < stickyPart*share.Fraction
}

func equal(a, b []dotterelpulley.Share) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
