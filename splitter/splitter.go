package splitter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Splitter divides the requests of one service; the zero value returns the empty version.
//
// Each host sends the second version at most the floor of its share of the
// requests that the host itself has divided since the share was set. So the
// limit holds across all hosts, whichever of them join or die.
type Splitter struct {
	shares []dotterelpulley.Share
	// credit is the number of requests that the second version may get beyond its share.
	credit float64
	total  int
	second int
}

// Limit bounds the part of the second version in all requests that have been divided.
type Limit struct {
	First    dotterelpulley.VersionID
	Second   dotterelpulley.VersionID
	Fraction float64
	// Credit is the number of requests beyond the fraction.
	Credit float64
}

// SetShares sets the shares in force, the fallback version first; a change restarts the count.
func (s *Splitter) SetShares(shares []dotterelpulley.Share) {
	if equalShares(s.shares, shares) {
		return
	}
	s.shares = append([]dotterelpulley.Share(nil), shares...)
	s.credit, s.total, s.second = 0, 0, 0
}

// SetLimit sets the limit and keeps the count, so that the limit holds for the requests divided before as well.
func (s *Splitter) SetLimit(l Limit) {
	s.shares = []dotterelpulley.Share{{Version: l.First}, {Version: l.Second, Fraction: l.Fraction}}
	s.credit = l.Credit
}

// Spare returns how many requests the second version may get at once.
func (s *Splitter) Spare() int {
	if len(s.shares) < 2 {
		return 0
	}
	return max(int(s.limit())-s.second, 0)
}

// limit returns the number of requests that the second version may have had by now.
func (s *Splitter) limit() float64 {
	return s.shares[1].Fraction*float64(s.total) + s.credit + roundingTolerance
}

// Take reports whether the second version may get one more request, and counts it for that version. Count counts it in all.
func (s *Splitter) Take() bool {
	if s.Spare() == 0 {
		return false
	}
	s.second++
	return true
}

// Count counts a request of either version.
func (s *Splitter) Count() {
	s.total++
}

// Choose returns the version for the next request; a conversation stays on one version while the limit allows.
func (s *Splitter) Choose(conversation string) dotterelpulley.VersionID {
	if len(s.shares) == 0 {
		return ""
	}
	s.total++
	if len(s.shares) == 1 {
		return s.shares[0].Version
	}
	share := s.shares[1]
	allowed := float64(s.second+1) <= s.limit()
	if !allowed || !prefersSecond(conversation, share) {
		return s.shares[0].Version
	}
	s.second++
	return share.Version
}

// stickyFraction is the fraction of a share that is assigned to conversations; the rest is slack,
// so that an uneven run of conversations seldom reaches the limit, where they change versions.
const stickyFraction = 0.9

// roundingTolerance absorbs the floating-point error of a product such as 0.1 x 10.
const roundingTolerance = 1e-9

// prefersSecond reports whether the conversation belongs to the version's share; a larger share only adds conversations.
func prefersSecond(conversation string, share dotterelpulley.Share) bool {
	if conversation == "" || share.Fraction >= 1 {
		return true
	}
	h := xxhash.Sum64String(string(share.Version) + "\x00" + conversation)
	return float64(h>>11)/(1<<53) < stickyFraction*share.Fraction
}

func equalShares(a, b []dotterelpulley.Share) bool {
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
